#!/bin/sh
# Checks hosts on the users' platform, as processes, against its fake: when three
# hosts have long prompts for one engine at the same time, the streams that run there
# keep the interval between events that their route promises.
set -u
BASE=${BASE:-27700}
DIR=$(mktemp -d)
: "${BIN:=build/skylarkspar-check}" "${FAKE:=build/skyfake}"
trap 'kill -KILL $PIDS 2>/dev/null; rm -rf "$DIR"' EXIT
. tests/proc_check.sh
. tests/edge_site.sh
INTERVAL_MS=500

# send_prompt HOST ID TOKENS: prints the status
send_prompt() {
    send_request "$1" /paced/1 "$2" -X POST -d prompt \
        -H 'X-Skylarkspar-Model: m1/a1' -H "X-Skylarkspar-Token-Count: $3,40"
}

start_site 1 1
publish_config 7 ",{\"name\":\"paced\",\"host\":\"a.example\",
    \"pathPrefix\":\"/paced/\",\"routeKind\":\"streaming\",\"timeoutMs\":8000,
    \"aimMs\":2000,\"service\":\"llm\",\"maxAttempts\":1,\"resumable\":false,
    \"gapTargetMs\":$INTERVAL_MS}"
for n in 0 1 2; do
    check "host $n becomes ready" "$(until_status 200 50 readyz_status $n)" 200
    until_status 200 40 send_prompt $n "first$n" 0 >/dev/null
done

# Each host sees how long prompts take.
set_fault '{"prompt_us_per_token": 50, "event_ms": 5}'
for i in 1 2 3 4 5 6 7 8 9 10 11 12; do
    for n in 0 1 2; do
        send_prompt $n "learn$i.$n" $((i * 100)) >"$DIR/learn.$i.$n"
    done
done
check "prompts of all lengths are served" \
    "$(cat "$DIR"/learn.* | grep -o 200 | wc -l)" 36

# A stream of each host is joined by two prompts a host, 0.1 s each.
set_fault '{"event_ms": 30, "measure_intervals": 1}'
for round in 1 2 3; do
    CURLS=""
    for n in 0 1 2; do
        send_prompt $n "run$round.$n" 10 >"$DIR/run.$round.$n" &
        CURLS="$CURLS $!"
    done
    sleep 0.15
    for n in 0 1 2; do
        for i in 1 2; do
            send_prompt $n "long$round.$i.$n" 2000 >"$DIR/long.$round.$i.$n" &
            CURLS="$CURLS $!"
        done
    done
    wait $CURLS
done
check "streams and long prompts are served" \
    "$(cat "$DIR"/run.* "$DIR"/long.* | grep -o 200 | wc -l)" 27
longest_ms=$(state_field longest_interval)
check "streams keep the interval between events of $INTERVAL_MS ms" \
    "$([ "$longest_ms" -gt 0 ] && [ "$longest_ms" -le $INTERVAL_MS ] &&
        echo kept || echo "$longest_ms ms")" kept
[ "$failures" -eq 0 ] || tail -n 30 "$DIR"/edge*.log
[ "$failures" -eq 0 ]
