#!/bin/sh
# Prepares the stand-ins that the scripts start. They are Python files of this folder without any dependency,
# so they are only compiled here; the programs under test are built by the line `build` of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review/rig review/1 review/2 review/3 review/earlier
