#!/bin/sh
# Checks hosts on the users' platform, as processes, against its fake: requests
# that have only one prompt part in common, which crashes each target that
# begins to answer one, must soon reach no target any more, whichever host they
# come in at; other requests of the same caller are served.
set -u
BASE=${BASE:-22500}
DIR=$(mktemp -d)
: "${BIN:=build/skylarkspar-check}" "${FAKE:=build/skyfake}"
trap 'kill -KILL $PIDS 2>/dev/null; rm -rf "$DIR"' EXIT
. tests/proc_check.sh
. tests/edge_site.sh

# The rule: requests sent later than stableMs after the fifth crash.
LATE_SENDS_MAX=3
request_count=0
# send_parts HOST PATH ID PARTS: prints the status of a request with a body and a
# last part of its own
send_parts() {
    request_count=$((request_count + 1))
    send_request "$1" "$2" "$3" -X POST -d "prompt $3" \
        -H 'X-Skylarkspar-Model: m1' -H 'X-Skylarkspar-Token-Count: 400,40' \
        -H "X-Skylarkspar-Prompt-Prefix: $4,$(printf 'a%07x' $request_count):9"
}
# mix PART ROUNDS HOST...: sends, in rounds of 0.4 s at one host after the
# other, a request with the part and beside it two without it, which share its
# other parts. The statuses of the latter are appended to the file "sound".
mix() {
    part=$1
    rounds=$2
    shift 2
    while [ "$rounds" -gt 0 ]; do
        host=$1
        shift
        set -- "$@" "$host"
        rounds=$((rounds - 1))
        request_count=$((request_count + 3))
        send_parts "$host" /gen/1 "g$request_count" \
            "f0000001:800,$part:300,c0000001:90" >/dev/null &
        guilty=$!
        { send_parts "$host" /gen/1 "s$request_count" \
            "f0000001:800,b0000001:300,c0000001:90"; echo; } >>"$DIR/sound" &
        sound=$!
        { send_parts "$host" /gen/1 "t$request_count" \
            "f0000001:800,c0000001:90"; echo; } >>"$DIR/sound"
        sleep 0.4
        wait $guilty $sound
    done
}
# sound_share: prints whether at least half of the sound requests of the mixes
# since the last call were served, else the counts
sound_share() {
    served=$(grep -c '^200' "$DIR/sound")
    sent=$(grep -c . "$DIR/sound")
    : >"$DIR/sound"
    if [ $((2 * served)) -ge "$sent" ]; then
        echo "half or more"
    else
        echo "$served of $sent"
    fi
}
start_site 8
publish_config 7 ""
for n in 0 1 2; do
    check "host $n becomes ready" "$(until_status 200 50 readyz_status $n)" 200
done
: >"$DIR/sound"

mix dead0001 24 0 1 2
check "requests with a crashing part are soon sent no more by any host" \
    "$(late_sends dead0001)" within
: >"$DIR/sound"
mix dead0001 12 0 1 2
check "requests that share the other parts are served" "$(sound_share)" \
    "half or more"
check "a request with the part is rejected without a send" \
    "$(send_parts 1 /gen/1 q1 f0000001:800,dead0001:200)" 503
check "its caller is told when to come back" \
    "$(grep -ci '^Retry-After: [0-9]' "$DIR/head.q1")" 1

restart_hosts 2
mix dead0001 6 2
check "a restarted host does not send them" "$(late_sends dead0001)" within
kill -STOP "$EDGE1"
mix dead0002 16 0 2
kill -CONT "$EDGE1"
mix dead0002 6 1
check "a host that was suspended meanwhile does not send them" \
    "$(late_sends dead0002)" within
restart_hosts 0 1 2
mix dead0002 9 0 1 2
check "after a restart of all hosts, none sends them" \
    "$(late_sends dead0002)" within
check "the first part is still accepted by all" "$(sound_share)" "half or more"

set_fault '{"empty_crashes": 1000}'
mix dead0003 24 0 1 2
check "crashes that look like an empty response count" \
    "$(late_sends dead0003)" within
check "such a response is not passed on as a complete one" \
    "$(cat "$DIR"/head.g* | grep -c '^HTTP/1.1 200')" 0
set_fault '{"empty_crashes": 0, "store_down_0": 1, "store_down_1": 1,
    "store_down_2": 1}'
sleep 1
mix dead0004 24 0 1 2
check "store unreachable: no host sends them" "$(late_sends dead0004)" within
restart_hosts 1
mix dead0004 6 1
check "store unreachable: a restarted host does not send them" \
    "$(late_sends dead0004)" within
set_fault '{"store_down_0": 0, "store_down_1": 0, "store_down_2": 0}'
sleep 4
restart_hosts 0 1 2
mix dead0004 6 0 1 2
check "after the outage and a restart of all hosts, none sends them" \
    "$(late_sends dead0004)" within
: >"$DIR/sound"
mix b0000009 6 0 1 2
check "at the end requests without such a part are served" "$(sound_share)" \
    "half or more"
[ "$failures" -eq 0 ] || tail -n 30 "$DIR"/edge*.log
[ "$failures" -eq 0 ]
