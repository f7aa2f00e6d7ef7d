#!/bin/bash
# A small run of the socket part of the scale tool: counts are checked, never times. Invalid flags and worlds must give exit
# code 64 and an error that names what is wrong.
# Usage: scale_wire_test.sh MICAROAD_SCALE_WIRE MICAROAD
set -u
scale=$1 micaroad=$2
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
failed=0
fail() { echo "FAILED: $1"; cat "$dir/err"; failed=1; }

expect_usage_error() { # text that the error must contain, flags
    local expected=$1; shift
    "$scale" "$@" >"$dir/out" 2>"$dir/err"
    local code=$?
    [ $code -eq 64 ] || fail "exit code $code for $*"
    [ -s "$dir/out" ] && fail "output on standard output for $*"
    grep -q -e "$expected" "$dir/err" || fail "no '$expected' in the error for $*"
}
expect_usage_error "--planner" # required
expect_usage_error "no-such-program" --planner no-such-program
expect_usage_error "no-such-flag" --planner "$micaroad" --no-such-flag
expect_usage_error "--real is 0" --planner "$micaroad" --real 0
expect_usage_error "--hollow is -1" --planner "$micaroad" --hollow -1
expect_usage_error "--proxies is 0" --planner "$micaroad" --proxies 0
expect_usage_error "--proxies" --planner "$micaroad" --proxies many
expect_usage_error "proxies of all planners" --planner "$micaroad" --proxies 4000
expect_usage_error "--servers is 5" --planner "$micaroad" --servers 5
expect_usage_error "--servers is 5" --planner "$micaroad" --vary-servers 200,5
expect_usage_error "--changes is -1" --planner "$micaroad" --changes -1
expect_usage_error "--changes is nan" --planner "$micaroad" --changes nan
expect_usage_error "--hollow is -1" --planner "$micaroad" --vary-planners 1
expect_usage_error "'flood'" --planner "$micaroad" --events flood
expect_usage_error "--burst" --planner "$micaroad" --events burst --servers 40
expect_usage_error "--servers is 60001" --planner "$micaroad" --servers 60001
expect_usage_error "--report-ms is 1" --planner "$micaroad" --vary-report-ms 1000,1
expect_usage_error "excludes" --planner "$micaroad" --all --vary-servers 200
expect_usage_error "--seed" --planner "$micaroad" --seed 0
expect_usage_error "--window-ms is 0" --planner "$micaroad" --window-ms 0

# The run's own checks must pass: each proxy has joined, each change is in force at each proxy, and the traffic of a hollow
# planner is that of a real one.
"$scale" --planner "$micaroad" --hollow 3 --proxies 4 --servers 60 --settle-ms 2000 --window-ms 4000 --burst 15 \
    --events burst,dial,discovery --seed 7 --output "$dir/result" 2>"$dir/err"
code=$?
[ $code -eq 0 ] || fail "the small run ended with exit code $code"
for expected in '"passed": true' '"each proxy joined, after the events"' '"each change in force at each proxy"' '"event burst"' \
    '"hollow planners agree with the stand-ins, after the events"' "\"a hollow planner's traffic is a real one's\""; do
    grep -q -e "$expected" "$dir/result" || fail "no $expected in the results of the small run"
done
grep -q '"passed": false' "$dir/result" && fail "a check of the small run did not pass"

# With --bound 0 the run must report a difference in traffic: the proxies of hollow planners have longer numbers here, and
# so longer messages.
"$scale" --planner "$micaroad" --real 1 --hollow 1 --proxies 8 --servers 60 --settle-ms 0 --window-ms 1000 --bound 0 \
    --output "$dir/result" 2>"$dir/err"
code=$?
[ $code -eq 1 ] || fail "a run beyond the bound ended with exit code $code"
grep -q 'BEYOND THE BOUND' "$dir/err" || fail "the exceeded bound is not in the error output"
grep -q '"passed": false' "$dir/result" || fail "the exceeded bound is not in the results"

# If a planner ends, the run must report that the size is left out, and why.
"$scale" --planner /bin/false --hollow 1 --proxies 1 --servers 60 --output "$dir/result" 2>"$dir/err"
code=$?
[ $code -eq 1 ] || fail "a run whose planner ends ended with exit code $code"
grep -q 'left out: real planner . has ended' "$dir/err" || fail "the ended planner is not in the error output"
grep -q '"why": "real planner . has ended' "$dir/result" || fail "the ended planner is not in the results"
exit $failed
