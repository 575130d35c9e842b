#!/usr/bin/env bash
# Build the stand-ins of the cases: Python of the standard library only, so
# there is nothing to compile; this checks that they can be read.
set -eu
cd "$(dirname "$0")"
for file in standins.py */case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
