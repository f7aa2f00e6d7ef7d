#!/bin/bash
# Usage: scale_usage_test.sh MICAROAD_SCALE. Invalid flags and world specifications must give exit code 64, one line
# on standard error that names what is wrong, and nothing on standard output.
set -uo pipefail
tool=$1
failed=0

expect_usage_error() {
    local expected=$1
    shift
    local errors code
    errors=$("$tool" "$@" 2>&1 >/dev/null)
    code=$?
    if [ "$code" -ne 64 ] || [ -n "$("$tool" "$@" 2>/dev/null)" ] || ! grep -q -- "$expected" <<<"$errors"; then
        echo "micaroad_scale $*: exit code $code, standard error: $errors"
        failed=1
    fi
}

expect_usage_error "subcommand"
expect_usage_error "no-such" core --no-such
expect_usage_error "seconds" core --seconds soon
expect_usage_error "scenario" core --scenario flood
expect_usage_error "standard" core --small --standard
expect_usage_error "servers" core --servers 0
expect_usage_error "services" core --servers 5 --services 6
expect_usage_error "reports" core --reports 0.001
expect_usage_error "skew" core --skew 9
expect_usage_error "parse" point --spec '{'
"$tool" --help >/dev/null || { echo "micaroad_scale --help fails"; failed=1; }
exit $failed
