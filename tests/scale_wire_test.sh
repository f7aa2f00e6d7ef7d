#!/bin/bash
# The socket part of the scale run, small: counts are compared, never times. Bad flags and worlds get a clear error and 64.
# Usage: scale_wire_test.sh MICAROAD_SCALE_WIRE MICAROAD
set -u
scale=$1 micaroad=$2
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
bad=0
fail() { echo "FAILED: $1"; cat "$dir/err"; bad=1; }

refused() { # words that the error has, flags
    local words=$1; shift
    "$scale" "$@" >"$dir/out" 2>"$dir/err"
    local code=$?
    [ $code -eq 64 ] || fail "exit $code for $*"
    [ -s "$dir/out" ] && fail "results for $*"
    grep -q -e "$words" "$dir/err" || fail "no '$words' in the error for $*"
}
refused "--planner" # needed
refused "no-such-program" --planner no-such-program
refused "no-such-flag" --planner "$micaroad" --no-such-flag
refused "--real is 0" --planner "$micaroad" --real 0
refused "--hollow is -1" --planner "$micaroad" --hollow -1
refused "--proxies is 0" --planner "$micaroad" --proxies 0
refused "--proxies" --planner "$micaroad" --proxies many
refused "proxies of all planners" --planner "$micaroad" --proxies 4000
refused "--servers is 5" --planner "$micaroad" --servers 5
refused "--servers is 5" --planner "$micaroad" --vary-servers 200,5
refused "--changes is -1" --planner "$micaroad" --changes -1
refused "--changes is nan" --planner "$micaroad" --changes nan
refused "--hollow is -1" --planner "$micaroad" --vary-planners 1
refused "'flood'" --planner "$micaroad" --events flood
refused "--burst" --planner "$micaroad" --events burst --servers 40
refused "--servers is 60001" --planner "$micaroad" --servers 60001
refused "--report-ms is 1" --planner "$micaroad" --vary-report-ms 1000,1
refused "excludes" --planner "$micaroad" --all --vary-servers 200
refused "--seed" --planner "$micaroad" --seed 0
refused "--window-ms is 0" --planner "$micaroad" --window-ms 0

# The run's own checks: each proxy joined, each change is in force at each proxy, a hollow planner's traffic is a real one's.
"$scale" --planner "$micaroad" --hollow 3 --proxies 4 --servers 60 --settle-ms 2000 --window-ms 4000 --burst 15 \
    --events burst,dial,discovery --seed 7 --output "$dir/result" 2>"$dir/err"
code=$?
[ $code -eq 0 ] || fail "the small run: exit $code"
for words in '"passed": true' '"each proxy joined, after the events"' '"each change in force at each proxy"' '"event burst"' \
    '"hollow planners agree with the stand-ins, after the events"' "\"a hollow planner's traffic is a real one's\""; do
    grep -q -e "$words" "$dir/result" || fail "no $words in the results of the small run"
done
grep -q '"passed": false' "$dir/result" && fail "a check of the small run"

# Proxies of hollow planners have longer numbers here: with a bound of nothing that is seen, and said.
"$scale" --planner "$micaroad" --real 1 --hollow 1 --proxies 8 --servers 60 --settle-ms 0 --window-ms 1000 --bound 0 \
    --output "$dir/result" 2>"$dir/err"
code=$?
[ $code -eq 1 ] || fail "beyond the bound: exit $code"
grep -q 'BEYOND THE BOUND' "$dir/err" || fail "nothing said of the bound"
grep -q '"passed": false' "$dir/result" || fail "nothing of the bound in the results"

# A planner that ends is seen, and the size is said to be left out.
"$scale" --planner /bin/false --hollow 1 --proxies 1 --servers 60 --output "$dir/result" 2>"$dir/err"
code=$?
[ $code -eq 1 ] || fail "a planner that ends: exit $code"
grep -q 'left out: real planner . has ended' "$dir/err" || fail "nothing said of a planner that ends"
grep -q '"why": "real planner . has ended' "$dir/result" || fail "nothing of a planner that ends in the results"
exit $bad
