#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out;
# SEED=N repeats the stand-ins' choices. Writes record.txt beside this script.
cd "$(dirname "$0")" || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
PYTHONDONTWRITEBYTECODE=1 timeout -k 3 115 python3 case.py
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
