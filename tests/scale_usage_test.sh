#!/bin/bash
# Usage: scale_usage_test.sh MICAROAD_SCALE. Flags and worlds that can't be used: exit 64, one line on standard error that
# names what is wrong, nothing on standard output.
set -uo pipefail
tool=$1
failed=0

refuses() {
    local named=$1
    shift
    local said code
    said=$("$tool" "$@" 2>&1 >/dev/null)
    code=$?
    if [ "$code" -ne 64 ] || [ -n "$("$tool" "$@" 2>/dev/null)" ] || ! grep -q -- "$named" <<<"$said"; then
        echo "micaroad_scale $*: exit code $code, said: $said"
        failed=1
    fi
}

refuses "subcommand"
refuses "no-such" core --no-such
refuses "seconds" core --seconds soon
refuses "scenario" core --scenario flood
refuses "standard" core --small --standard
refuses "servers" core --servers 0
refuses "services" core --servers 5 --services 6
refuses "reports" core --reports 0.001
refuses "skew" core --skew 9
refuses "parse" point --spec '{'
"$tool" --help >/dev/null || { echo "--help fails"; failed=1; }
exit $failed
