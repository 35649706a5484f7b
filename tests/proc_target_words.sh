#!/bin/sh
# Checks hosts on the users' platform, as processes, against its fake: what a
# target says of itself in a response holds for this host, whatever the list of
# targets says: that it leaves, or that it wants no requests for some time.
set -u
BASE=${BASE:-23300}
DIR=$(mktemp -d)
: "${BIN:=build/skylarkspar-check}" "${FAKE:=build/skyfake}"
trap 'kill -KILL $PIDS 2>/dev/null; rm -rf "$DIR"' EXIT
. tests/proc_check.sh
. tests/edge_site.sh

# The rule allows two requests in a pause.
PAUSE_ARRIVALS_MAX=2
# generate COUNT PREFIX: sends streams to host 0; prints how many were served
generate() {
    served=0
    for i in $(seq 1 "$1"); do
        [ "$(send_request 0 /gen/1 "$2$i" -X POST -d "prompt $2$i" \
            -H 'X-Skylarkspar-Model: m1')" = 200 ] && served=$((served + 1))
    done
    echo $served
}
look() { send_request 0 /look/1 "$1"; }

start_site 4
publish_config 7 ""
for n in 0 1 2; do
    check "host $n becomes ready" "$(until_status 200 50 readyz_status $n)" 200
done

set_fault '{"tell_leaving_0": 1, "tell_leaving_1": 1}'
check "streams are served while targets say that they leave" \
    "$(generate 24 a)" 24
sleep 2.2
check "and later too" "$(generate 24 b)" 24
check "none of them at a target that leaves" "$(state_field after_told)" 0
set_fault '{"store_down_0": 1, "store_down_1": 1, "store_down_2": 1}'
sleep 0.5
check "store unreachable: served" "$(generate 24 c)" 24
check "store unreachable: none at a target that leaves" \
    "$(state_field after_told)" 0
set_fault '{"store_down_0": 0, "store_down_1": 0, "store_down_2": 0}'
sleep 1

set_fault '{"shed": 1, "pause_s": 3}'
check "a request that the only target sheds is refused" "$(look d1)" 503
check "its caller comes back after the pause" \
    "$(grep -ci '^Retry-After: [3-9]' "$DIR/head.d1")" 1
for i in 1 2 3 4 5 6 7 8 9 10; do
    look "e$i" >/dev/null
    sleep 0.2
done
check "the target gets no requests in the pause" \
    "$([ "$(state_field in_pause)" -le $PAUSE_ARRIVALS_MAX ] && echo within)" \
    within
check "they are refused" "$(look e11)" 503
sleep 1.5
check "after the pause they are served" "$(look e12)" 200
set_fault '{"shed": 1, "pause_s": 100000}'
look f1 >/dev/null
check "a pause of a day is bounded" \
    "$(sed -n 's/^Retry-After: \([0-9]*\).*/\1/pI' "$DIR/head.f1" |
        awk '$1 > 3 && $1 <= 61 {print "bounded"}')" bounded
[ "$failures" -eq 0 ] || tail -n 30 "$DIR"/edge*.log
[ "$failures" -eq 0 ]
