#!/bin/sh
# Guards against a host that ends while the store is away, as it reads the route
# of a request that has none yet. Requests of all kinds pass through all stages
# (waiting for records, routed, waiting for a slot, sent, answered, left by their
# callers) while records become usable and too old by turns, also within one
# check of the open requests, and the store answers 503, is silent and comes
# back. Two hosts, two engines, two targets without engines.
set -u
BASE=${BASE:-23100}
DIR=$(mktemp -d)
: "${BIN:=build/skylarkspar-check}" "${FAKE:=build/skyfake}"
trap 'kill -KILL $PIDS 2>/dev/null; rm -rf "$DIR"' EXIT
. tests/proc_check.sh
. tests/edge_site.sh

# load NAME PATH TIMEOUT_S CURL_OPTION...: sends requests to both hosts until
# $DIR/end exists, eight at a time; prints their statuses to load.NAME
load() {
    name=$1 path=$2 timeout_s=$3
    shift 3
    for i in 1 2 3 4 5 6 7 8; do
        while [ ! -e "$DIR/end" ]; do
            curl -sS -m "$timeout_s" -o /dev/null -w '%{http_code}\n' \
                -H 'Host: a.example' \
                -H "X-Skylarkspar-Attempt-Id: $name.$i.$(date +%s%N)" \
                -H 'X-Skylarkspar-Deadline-Ms: 1500' "$@" \
                "http://$(front_address $((i % 2)))$path" \
                >>"$DIR/load.$name" 2>/dev/null
        done &
        PIDS="$PIDS $!"
    done
}
count_status() { grep -c "^$2\$" "$DIR/load.$1"; }
# is_running HOST
is_running() {
    eval "kill -0 \$EDGE$1" 2>/dev/null && echo running
}
store_down() { # 0 or 1 or 2
    for n in 0 1; do set_fault "{\"store_down_$n\": $1}"; done
}

SKY_TEST_OLD_RECORDS=25
export SKY_TEST_OLD_RECORDS
start_site 2 2 2
publish_config 7 ""
for n in 0 1; do
    check "host $n becomes ready" "$(until_status 200 100 readyz_status $n)" 200
done
check "a request is served" \
    "$(until_status 200 40 send_request 0 /look/1 first)" 200

set_fault '{"app_run_ms": 100, "event_ms": 20}'
load look /look/1 3
load book /book/1 3 -X POST -d booking
load gen /gen/1 3 -X POST -d prompt -H 'X-Skylarkspar-Model: m1'
load left /look/2 0.15
load none /none/1 3
for state in 1 0 2 0 1 0 2 0; do
    store_down $state
    sleep 2
done
for n in 0 1; do
    check "host $n still runs" "$(is_running $n)" running
done
sleep 2
: >"$DIR/end"
sleep 3
for name in look book gen; do
    check "requests for $name were served" \
        "$([ "$(count_status $name 200)" -gt 20 ] && echo served)" served
    check "no connection of $name ended without an answer" \
        "$(count_status $name 000)" 0
done
store_down 1
for i in 1 2 3 4 5 6; do
    send_request $((i % 2)) /look/3 "last$i" >/dev/null &
done
sleep 1
for n in 0 1; do
    eval "pid=\$EDGE$n"
    kill -TERM "$pid"
    wait "$pid"
    check "host $n stops with requests waiting" $? 0
done
check "no invariant was broken" \
    "$(cat "$DIR"/edge*.log | grep -c 'invariant')" 0
[ "$failures" -eq 0 ] || tail -n 30 "$DIR"/edge*.log
[ "$failures" -eq 0 ]
