#!/usr/bin/env bash
# Build the stand-ins of the cases 11 to 15 under target/, after deploy/build.
# They need the standard library only.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps/wagtailfork ] || bash deploy/build
mkdir -p target/review-3
cp review/11/stand_ins.py target/review-3/stand_ins.py
python3 -m py_compile target/review-3/stand_ins.py
