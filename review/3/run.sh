#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out;
# SEED=N repeats the stand-ins' choices. Writes record.txt beside this script.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 timeout 119 python3 case.py
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
