#!/bin/bash
# Which folders may include which: no arrow goes up. Usage: layers_test.sh SRC
set -u
cd "$1" || exit 1
bad=0
keeps_from() { # folder, the folders above it
    local folder=$1 above
    shift
    for above in "$@"; do
        grep -rn "#include \"$above/" "$folder" && { echo "FAILED: src/$folder includes src/$above"; bad=1; }
    done
}
keeps_from decision log settings protocol updates planner net daemon command routing operators haproxy record background simhost
keeps_from log protocol updates planner net daemon command
keeps_from settings protocol updates planner net daemon command
keeps_from protocol planner net daemon command
keeps_from updates protocol planner net daemon command
keeps_from planner net daemon command
keeps_from net daemon command
keeps_from daemon command
exit $bad
