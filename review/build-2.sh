#!/bin/sh
# Builds the stand-ins of the cases 4 to 8. They are Python from the standard library and need no build; that
# they and the programs can be started is checked here. After the build line of `deploy/system.toml`.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
test -d target/deps
for source in review/rig_2/*.py review/[4-8]/*.py; do
    test -f "$source" || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$source"
done
PYTHONPATH=target/deps python3 -c 'import opalwick.post.link, opalwick.post.settings'
