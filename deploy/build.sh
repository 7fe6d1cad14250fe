#!/bin/sh
# The `build` of deploy/system.toml: installs what its programs need into target/deps and compiles the sources.
# The folder is made anew if it was made for another kind of processor or another Python, or not completed.
set -eu
cd "$(dirname "$0")/.."
built_for=$(python3 -c 'import sys, sysconfig; print(sysconfig.get_platform(), sys.implementation.cache_tag)')
stamp=target/deps/.built-for
if [ "$(cat "$stamp" 2>/dev/null)" != "$built_for" ]; then
    rm -rf target/deps
fi
if ! [ "$stamp" -nt requirements-post.txt ]; then
    rm -f "$stamp"
    python3 -m pip install -q -U --target target/deps -r requirements-post.txt
    echo "$built_for" >"$stamp"
fi
python3 -m compileall -q opalwick
