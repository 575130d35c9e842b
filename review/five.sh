#!/usr/bin/env bash
# Run a case five times, and twice without the disruption: five.sh N
cd "$(dirname "$0")" || exit 2
for number in 1 2 3 4 5; do
  bash "$1/run.sh" > /dev/null 2>&1
  echo "case $1, run $number: exit $?, $(tail -n 2 "$1/record.txt" | head -n 1 | cut -c 10-)"
done
for number in 1 2; do
  TROUBLE=0 bash "$1/run.sh" > /dev/null 2>&1
  echo "case $1, TROUBLE=0, run $number: exit $?, $(tail -n 2 "$1/record.txt" | head -n 1 | cut -c 10-)"
done
