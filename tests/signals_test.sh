#!/bin/bash
# The daemon itself under signals that cross its start, its reload and each other. Usage: signals_test.sh MICAROAD
set -u
micaroad=$1
dir=$(mktemp -d)
bad=0 pid=
# Only of this shell: a child that SIGTERM meets before it has become the daemon runs the trap as well.
trap '[ "$BASHPID" = $$ ] || exit 143; [ -n "$pid" ] && kill -9 "$pid" 2>/dev/null; rm -rf "$dir"' EXIT
write() { # discovery
    cat >"$dir/start.json" <<J
{"name":"n1","listen":"127.0.0.1:0","discovery":"$1","seed":"1","limits":{"sockets":256,"memory_mb":32},
 "known":{"version":1,"full":true,"servers":[]},
 "settings":{"classes":[{"name":"lookup","aim_us":1500000}],"zones":["a"],"kinds":["m1"],"family_info":{"data_plane_size":4}}}
J
}
begin() { write 127.0.0.1:1; : >"$dir/log"; LB_CONFIG="$dir/start.json" "$micaroad" 2>>"$dir/log" & pid=$!; }
ready() { until grep -q 'process: state changed planner=n1 state=serving' "$dir/log"; do kill -0 "$pid" || return; sleep 0.01; done; }
logs() { # what is to be logged; 10 s at most, and no longer than the daemon lives
    for _ in {1..1000}; do
        grep -q "$1" "$dir/log" && return
        kill -0 "$pid" || break
        sleep 0.01
    done
    echo "FAILED: not logged: $1"; cat "$dir/log"; bad=1
}
ends() { # what, the codes that are fine, seconds at most
    local begun=$EPOCHREALTIME code
    wait "$pid"; code=$?; pid=
    local took=$(( (${EPOCHREALTIME/./} - ${begun/./}) / 1000 ))
    [[ " $2 " == *" $code "* ]] && [ $took -lt "$3" ] && return
    echo "FAILED: $1: exit $code after $took ms"; cat "$dir/log"; bad=1
}
# Before it has blocked them the kernel ends it, which is no crash (143); after that it ends by itself.
for ms in 0 1 2 4 8; do begin; sleep 0.00$ms; kill -TERM "$pid"; ends "SIGTERM $ms ms after the start" "0 143" 700; done
begin; ready; kill -HUP "$pid"; kill -TERM "$pid"; ends "SIGHUP and SIGTERM together" 0 700
begin; ready; kill -TERM "$pid"; kill -HUP "$pid" 2>/dev/null; ends "SIGTERM and SIGHUP together" 0 700
begin; ready
for port in 2 1 3 1 2; do write 127.0.0.1:$port; kill -HUP "$pid"; done
logs 'configuration: reloaded discovery=127.0.0.1:2'
printf '{"discovery":' >"$dir/start.json"; kill -HUP "$pid"
logs 'configuration: reload rejected planner=n1'
kill -TERM "$pid"; ends "there and back, and half a file" 0 700
exit $bad
