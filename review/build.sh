#!/usr/bin/env bash
# Builds what the scripts of the cases start. Their stand-ins are Python programs, which need no
# build; the daemons come from the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
test -x target/toucanusherd || { echo "build deploy/system.toml first"; exit 1; }
python3 -m py_compile review/common/*.py review/*/run.py
