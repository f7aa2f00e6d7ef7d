#!/bin/bash
# The stand-ins of the cases are Python programs of the standard library alone: there is nothing to build. This checks
# that the interpreter is there and takes them, and that the deploy file's build has left the daemon.
set -eu
cd "$(dirname "$0")"
for file in stand_ins/*.py [0-9]/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
[ -x ../build/micaroad ] || { echo "build/micaroad is missing: run the build of the deploy file first"; exit 1; }
