#!/usr/bin/env bash
# Prepares the stand-ins of the second review (review/6 to review/10). They are Python programs in
# review/standins-2 and use the standard library only, so that nothing is compiled; this checks that
# each of them can be loaded.
set -u
cd "$(dirname "$0")" || exit 2
for file in standins-2/*.py [0-9]*/run.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file" ||
    exit 1
done
echo "stand-ins of review 2: ready"
