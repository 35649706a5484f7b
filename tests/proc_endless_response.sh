#!/bin/sh
# Checks hosts on the users' platform, as processes, against its fake: a target
# sends bytes without end. A host must close the connection, keep its memory,
# and retry the request or refuse it at once.
set -u
BASE=${BASE:-22900}
DIR=$(mktemp -d)
: "${BIN:=build/skylarkspar-check}" "${FAKE:=build/skyfake}"
trap 'kill -KILL $PIDS 2>/dev/null; rm -rf "$DIR"' EXIT
. tests/proc_check.sh
. tests/edge_site.sh

# memoryMb in the settings of the tests
MEMORY_MAX_KB=$((160 * 1024))
# memory_within: prints whether all hosts have kept to their limit
memory_within() {
    for n in 0 1 2; do
        eval "pid=\$EDGE$n"
        peak=$(sed -n 's/^VmHWM:[^0-9]*\([0-9]*\).*/\1/p' "/proc/$pid/status")
        [ "${peak:-999999999}" -le $MEMORY_MAX_KB ] || {
            echo "host $n: ${peak:-gone} kB"
            return
        }
    done
    echo within
}
# timed COMMAND...: prints its output, and whether it took less than 600 ms,
# which is well before a deadline
timed() {
    start_ms=$(date +%s%3N)
    printed=$("$@")
    took_ms=$(($(date +%s%3N) - start_ms))
    [ $took_ms -lt 600 ] && echo "$printed at once" ||
        echo "$printed after $took_ms ms"
}
closed() { [ "$(state_field endless)" = 0 ] && echo closed; }
look() { send_request 0 /look/1 "$1" -m 3; }
book() { send_request 0 /book/1 "$1" -m 3 -X POST -d order; }
generate() { send_request 1 /gen/1 "$1" -m 6 -X POST -d "prompt $1" \
    -H 'X-Skylarkspar-Model: m1'; }

start_site 4
publish_config 7 ""
for n in 0 1 2; do
    check "host $n becomes ready" "$(until_status 200 50 readyz_status $n)" 200
done

set_fault '{"endless_unsealed": 4}'
check "no answer: a request that may be repeated fails" "$(timed look a1)" \
    "502 at once"
check "no answer: one that must not be repeated fails" "$(timed book a2)" \
    "502 at once"
set_fault '{"endless_unsealed": 0, "endless_error": 1}'
check "an error is passed on or fails" \
    "$(timed book b1 | sed 's/^50[02]/50x/')" "50x at once"
set_fault '{"endless_error": 0, "endless_refusal": 4}'
check "a refusal counts" "$(timed book c1)" "503 at once"
set_fault '{"endless_refusal": 0}'
check "memory" "$(memory_within)" within
check "the connections are closed" "$(until_status closed 10 closed)" closed

set_fault '{"endless_success": 1}'
look d1 >/dev/null
check "a success without end takes no memory" "$(memory_within)" within
check "and is given up at its deadline" "$(until_status closed 10 closed)" \
    closed
set_fault '{"endless_success": 1}'
send_request 0 /look/1 d2 -m 3 --limit-rate 1000 >/dev/null
check "nor with a caller that reads slowly" "$(memory_within)" within
check "and is closed" "$(until_status closed 10 closed)" closed

set_fault '{"endless_event": 1}'
check "an event without end: the stream goes on elsewhere" \
    "$(timed generate e1) $(event_count e1)" "200 at once 8"
set_fault '{"endless_event": 4}'
generate e2 >/dev/null
set_fault '{"endless_event": 0}'
check "memory after events" "$(memory_within)" within
check "their connections are closed" "$(until_status closed 10 closed)" closed

set_fault '{"endless_report": 40}'
sleep 3
set_fault '{"endless_report": 0}'
check "reports without end take no memory" "$(memory_within)" within
check "and are closed" "$(until_status closed 10 closed)" closed
# Each response and each request body is within its own bound; together they
# are more than the host may keep.
set_fault '{"stalled_event": 300}'
for i in $(seq 300); do generate "g$i" >/dev/null & CALLERS="${CALLERS:-} $!"; done
sleep 3
check "memory with many responses that stall" "$(memory_within)" within
set_fault '{"stalled_event": 0}'
# shellcheck disable=SC2086  # a list
kill $CALLERS 2>/dev/null
check "their connections are closed" "$(until_status closed 20 closed)" closed
publish_config 9 "" 4000000
sleep 1
CALLERS=
for i in $(seq 60); do
    {
        printf 'POST /look/1 HTTP/1.1\r\nHost: a.example\r\n'
        printf 'X-Skylarkspar-Attempt-Id: h%s\r\nContent-Length: 3999999\r\n\r\n' "$i"
        head -c 3900000 /dev/zero
        sleep 6
    } | curl -s -m 8 "telnet://$(front_address 0)" >/dev/null 2>&1 &
    CALLERS="$CALLERS $!"
done
sleep 5
check "memory with many request bodies that stall" "$(memory_within)" within
# shellcheck disable=SC2086  # a list
kill $CALLERS 2>/dev/null
check "all is served at the end" "$(look f1) $(book f2) $(generate f3)" \
    "200 200 200"
# Guards against a fake that ends itself, so that nothing was tested after it.
set_fault '{"endless_success": 2, "endless_event": 2}'
for n in 0 1; do
    send_request 0 /look/1 "crash$n" -m 3 >/dev/null &
    CALLERS="${CALLERS:-} $!"
    generate "crash$n" >/dev/null &
    CALLERS="$CALLERS $!"
done
sleep 0.5
curl -fsS -m 5 -d '' "$control_url/crash?n=0&service=app" >/dev/null
send_request 1 /gen/crash-1 crash2 -X POST -d x -H 'X-Skylarkspar-Model: m1' \
    -m 3 >/dev/null
sleep 2
check "the fake goes on when targets crash in responses without end" \
    "$(curl -sS -m 5 -o /dev/null -w '%{http_code}' "$control_url/state")" 200
set_fault '{"endless_success": 0, "endless_event": 0}'
[ "$failures" -eq 0 ] || tail -n 30 "$DIR"/edge*.log
[ "$failures" -eq 0 ]
