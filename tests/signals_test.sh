#!/bin/bash
# Sends signals to the daemon during its start, during a reload and two at a time. Usage: signals_test.sh MICAROAD
set -u
micaroad=$1
dir=$(mktemp -d)
failed=0 pid=
# Cleans up in this shell only: a child that receives SIGTERM before it has become the daemon runs the trap as well.
trap '[ "$BASHPID" = $$ ] || exit 143; [ -n "$pid" ] && kill -9 "$pid" 2>/dev/null; rm -rf "$dir"' EXIT
write_start_file() { # discovery
    cat >"$dir/start.json" <<J
{"name":"n1","listen":"127.0.0.1:0","discovery":"$1","seed":"1","limits":{"sockets":256,"memory_mb":32},
 "known":{"version":1,"full":true,"servers":[]},
 "settings":{"classes":[{"name":"lookup","aim_us":1500000}],"zones":["a"],"kinds":["m1"],"family_info":{"data_plane_size":4}}}
J
}
start_daemon() { write_start_file 127.0.0.1:1; : >"$dir/log"; LB_CONFIG="$dir/start.json" "$micaroad" 2>>"$dir/log" & pid=$!; }
wait_until_serving() { until grep -q 'process: state changed planner=n1 state=serving' "$dir/log"; do kill -0 "$pid" || return; sleep 0.01; done; }
expect_log_line() { # line that has to be logged; waits 10 s at most, and only while the daemon runs
    for _ in {1..1000}; do
        grep -q "$1" "$dir/log" && return
        kill -0 "$pid" || break
        sleep 0.01
    done
    echo "FAILED: log line is missing: $1"; cat "$dir/log"; failed=1
}
expect_exit() { # case, accepted exit codes, upper bound of the duration in ms
    local started=$EPOCHREALTIME code
    wait "$pid"; code=$?; pid=
    local elapsed_ms=$(( (${EPOCHREALTIME/./} - ${started/./}) / 1000 ))
    [[ " $2 " == *" $code "* ]] && [ $elapsed_ms -lt "$3" ] && return
    echo "FAILED: $1: exit $code after $elapsed_ms ms"; cat "$dir/log"; failed=1
}
# Until the daemon has blocked the signals, SIGTERM kills it (143), which is not a crash; after that it exits by itself.
for ms in 0 1 2 4 8; do start_daemon; sleep 0.00$ms; kill -TERM "$pid"; expect_exit "SIGTERM $ms ms after the start" "0 143" 700; done
start_daemon; wait_until_serving; kill -HUP "$pid"; kill -TERM "$pid"; expect_exit "SIGHUP and SIGTERM together" 0 700
start_daemon; wait_until_serving; kill -TERM "$pid"; kill -HUP "$pid" 2>/dev/null; expect_exit "SIGTERM and SIGHUP together" 0 700
start_daemon; wait_until_serving
for port in 2 1 3 1 2; do write_start_file 127.0.0.1:$port; kill -HUP "$pid"; done
expect_log_line 'configuration: reloaded discovery=127.0.0.1:2'
printf '{"discovery":' >"$dir/start.json"; kill -HUP "$pid"
expect_log_line 'configuration: reload rejected planner=n1'
kill -TERM "$pid"; expect_exit "SIGTERM after reloads of changing addresses and of a truncated file" 0 700
exit $failed
