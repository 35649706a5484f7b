#!/bin/sh
# Checks hosts on the users' platform, as processes, against its fake: the log
# names a request that must not repeat and got a status that says "not run",
# though it ran, and so it does while other lines are dropped, and after the
# host was killed.
set -u
BASE=${BASE:-25800}
DIR=$(mktemp -d)
: "${BIN:=build/skylarkspar-check}" "${FAKE:=build/skyfake}"
trap 'kill -KILL $PIDS 2>/dev/null; rm -rf "$DIR"' EXIT
. tests/proc_check.sh
. tests/edge_site.sh

# lines EVENT TEXT: prints how many lines of the event at host 0 have the text
lines() { grep "event=$1 " "$DIR/edge0.log" | grep -c -e "$2"; }
# flood PATH COUNT: sends so many requests to host 0, 20 at a time
flood() {
    curl -sS -Z --parallel-max 20 -m 20 -o /dev/null -H 'Host: a.example' \
        -H 'X-Skylarkspar-Attempt-Id: flood' \
        -H 'X-Skylarkspar-Deadline-Ms: 5000' \
        "http://$(front_address 0)$1[1-$2]" >/dev/null 2>&1
}

start_site 1 1 2
publish_config 7 ""
for n in 0 1; do
    check "host $n becomes ready" "$(until_status 200 50 readyz_status $n)" 200
done

# More lines a second than a host writes, of requests that reach no target.
flood /none/ 6000 &
flood_pid=$!
sleep 0.5
for status in 429 408 503; do
    set_fault "{\"status_after_run\": $status}"
    for i in 1 2 3 4 5; do
        id="u$status.$i"
        check "$id: no promise" "$(send_request 0 /book/1 "$id" -X POST -d "$id")" \
            502
        how=unproved_refusal
        [ "$status" = 503 ] && how=target_error
        check "$id: the end of the exchange says what is known" \
            "$(lines sending_end "id=$id .*how=$how status=$status .*not_run=0 .*read_status=$status id_echo=own .*sent=whole")" 1
        check "$id: its end is logged" "$(lines request_end "id=$id ")" 1
    done
done
kill "$flood_pid" 2>/dev/null
wait "$flood_pid" 2>/dev/null
sleep 1.5
check "lines were dropped meanwhile, and are counted by event" \
    "$([ "$(lines log_dropped 'request_end=')" -gt 0 ] && echo counted)" counted
check "no evidence was dropped" "$(lines log_dropped 'evidence=[1-9]')" 0
check "dropped lines are counted on /metrics" \
    "$(curl -sS -m 5 "http://$(ready_address 0)/metrics" |
        grep -c '^sky_log_event_dropped_total{event="request_end"} [1-9]')" 1

set_fault '{"status_after_run": 429}'
check "a last request gets no promise" \
    "$(send_request 0 /book/1 killed -X POST -d x)" 502
kill -KILL "$EDGE0"
check "a host that is killed has written the request's lines" \
    "$(($(lines sending_end 'id=killed ') + $(lines request_end 'id=killed ')))" 2
[ "$failures" -eq 0 ] || tail -n 30 "$DIR"/edge0.log
[ "$failures" -eq 0 ]
