#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
built=$root/target/review-3
[ -f "$built/stand_ins.py" ] && [ -d "$root/target/deps/wagtailfork" ] || exit 2
REVIEW_ROOT=$root PYTHONPATH=$built PYTHONDONTWRITEBYTECODE=1 exec python3 "$here/play.py" "$here"
