#!/usr/bin/env bash
# Check what the cases of the second review start besides the gateways: their
# stand-ins use the standard library only, so there is nothing to install.
set -eu
cd "$(dirname "$0")"
python3 -B - <<'PY'
import pathlib
import sys
import tomllib  # the stand-ins need Python 3.11

for name in ['lib2/small.py', *sys.argv[1:]]:
    compile(pathlib.Path(name).read_text(), name, 'exec')
for path in pathlib.Path('.').glob('*/play.py'):
    compile(path.read_text(), str(path), 'exec')
PY
