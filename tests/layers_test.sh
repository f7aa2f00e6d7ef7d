#!/bin/bash
# Checks that no folder of SRC includes a header of a layer above it. Usage: layers_test.sh SRC
set -u
cd "$1" || exit 1
failed=0
must_not_include() { # folder, the folders above it
    local folder=$1 above
    shift
    for above in "$@"; do
        grep -rn "#include \"$above/" "$folder" && { echo "FAILED: src/$folder includes src/$above"; failed=1; }
    done
}
must_not_include decision log settings protocol updates planner net daemon command routing operators haproxy record background simhost
must_not_include log protocol updates planner net daemon command
must_not_include settings protocol updates planner net daemon command
must_not_include protocol planner net daemon command
must_not_include updates protocol planner net daemon command
must_not_include planner net daemon command
must_not_include net daemon command
must_not_include daemon command
exit $failed
