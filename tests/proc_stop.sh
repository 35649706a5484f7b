#!/bin/sh
# Checks a host that stops, as a process, against the fake of the users'
# platform: it takes what ends before it exits, refuses the rest at once, and
# exits in time whatever its callers send.
set -u
BASE=${BASE:-25300}
DIR=$(mktemp -d)
: "${BIN:=build/skylarkspar-check}" "${FAKE:=build/skyfake}"
trap 'kill -KILL $PIDS 2>/dev/null; rm -rf "$DIR"' EXIT
. tests/proc_check.sh
. tests/edge_site.sh

stream() { # HOST ID
    send_request "$1" /gen/1 "$2" -m 12 -X POST -d "prompt $2" \
        -H 'X-Skylarkspar-Model: m1'
}
# outcome ID STATUS: prints "whole", "refused", or what else the caller got
outcome() {
    case "$2 $(event_count "$1")" in
    "200 8") echo whole ;;
    503*) grep -qi '^Retry-After: [0-9]' "$DIR/head.$1" && echo refused ;;
    *) echo "$2 with $(event_count "$1") events" ;;
    esac
}

start_site 3 1
publish_config 7 ""
for n in 0 1 2; do
    check "host $n becomes ready" "$(until_status 200 50 readyz_status $n)" 200
done
set_fault '{"event_ms": 560}' # streams take 4.5 s, less than their deadline
check "a long stream before the stop" "$(outcome a1 "$(stream 1 a1)")" whole

kill -TERM "$EDGE1"
(
    sleep 0.5
    outcome b1 "$(stream 1 b1)" >"$DIR/b1"
) &
early_pid=$!
sleep 3.4
asked_ms=$(date +%s%3N)
late=$(outcome b2 "$(stream 1 b2)")
took_ms=$(($(date +%s%3N) - asked_ms))
# Guards against streams that a stopping host begins and cuts at its exit.
check "a stream that cannot end before the exit is refused" "$late" refused
check "at once" "$([ $took_ms -lt 500 ] && echo yes || echo "$took_ms ms")" yes
check "what is short is still served" "$(send_request 1 /look/1 b3)" 200
wait $early_pid
check "a stream that ends before the exit is whole" "$(cat "$DIR/b1")" whole
check "the refused one is served by another host" \
    "$(outcome b4 "$(stream 2 b4)")" whole
wait "$EDGE1"
check "the host exits with code" "$?" 0

(sleep 15) | curl -sS -m 14 -o "$DIR/torn" -T - -H 'Host: a.example' \
    -H 'X-Skylarkspar-Attempt-Id: c1' "http://$(front_address 2)/look/2" \
    2>"$DIR/torn.error" &
sleep 0.3
stopped_ms=$(date +%s%3N)
kill -TERM "$EDGE2"
wait "$EDGE2"
check "with a request without end the host exits with code" "$?" 0
took_ms=$(($(date +%s%3N) - stopped_ms))
check "within its time" \
    "$([ $took_ms -lt 8000 ] && echo yes || echo "$took_ms ms")" yes
[ "$failures" -eq 0 ] || tail -n 30 "$DIR"/edge*.log
[ "$failures" -eq 0 ]
