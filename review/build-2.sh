#!/bin/sh
# Prepares the cases 6 to 10. Their stand-ins are Python programs in common2/ and in each case's folder, so there is
# nothing to compile; this checks that they can be read, and that the planner has been built.
set -e
cd "$(dirname "$0")"
for file in common2/world.py [6-9]/case.py 10/case.py; do
    if [ -e "$file" ]; then
        python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
    fi
done
test -x ../build/micaroad
