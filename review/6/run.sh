#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
# Writes what was sent, answered and run to record.txt beside this script, and ends all that it started.
PYTHONDONTWRITEBYTECODE=1 exec python3 "$(dirname "$0")/case.py" "$(dirname "$0")/record.txt"
