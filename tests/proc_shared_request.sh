#!/bin/sh
# Guards against a request that many callers share being refused by all hosts
# after targets have crashed for other reasons while it ran there. A request of
# the same path and body that does crash targets is refused meanwhile.
# Three hosts, four targets of a service without engines.
set -u
BASE=${BASE:-22300}
DIR=$(mktemp -d)
: "${BIN:=build/skylarkspar-check}" "${FAKE:=build/skyfake}"
trap 'kill -KILL $PIDS 2>/dev/null; rm -rf "$DIR"' EXIT
. tests/proc_check.sh
. tests/edge_site.sh

# The rule: sends later than stableMs after the third crash.
LATE_SENDS_MAX=3
# read_shared SECONDS: callers read one page at all
# hosts; some 20 requests are under way at any time
read_shared() {
    end_s=$(($(date +%s) + $1))
    for i in $(seq 20); do
        while [ "$(date +%s)" -lt "$end_s" ]; do
            curl -sS -m 2 -o /dev/null -H 'Host: a.example' \
                -H "X-Skylarkspar-Attempt-Id: r$i" \
                -H 'X-Skylarkspar-Deadline-Ms: 1500' \
                "http://$(front_address $((i % 3)))/look/today" 2>/dev/null
            sleep 0.05
        done &
        PIDS="$PIDS $!"
    done
}
crash_targets() { # NUMBER...
    for n in "$@"; do
        curl -fsS -m 5 -d '' "$control_url/crash?n=$n&service=app" >/dev/null
    done
}
# served_most COUNT ID: prints "served" if nine of ten requests for the page,
# sent to the hosts in turn, are served, else their number
served_most() {
    ok=0
    for i in $(seq "$1"); do
        status=$(send_request $((i % 3)) /look/today "$2.$i")
        [ "$status" = 200 ] && ok=$((ok + 1))
    done
    if [ "$ok" -ge $(($1 * 9 / 10)) ]; then echo served; else echo "$ok"; fi
}

start_site 1 4
publish_config 7 ""
for n in 0 1 2; do
    check "host $n becomes ready" "$(until_status 200 50 readyz_status $n)" 200
done
check "the page is served" \
    "$(until_status 200 40 send_request 0 /look/today first)" 200

set_fault '{"app_run_ms": 100}'
read_shared 60
sleep 2
for n in 0 1 2 3; do
    crash_targets $n
    sleep 3
    check "served after target $n crashed with requests under way" \
        "$(served_most 12 "one$n")" served
done
crash_targets 0 1
sleep 8
check "served after two targets crashed at once" "$(served_most 12 two)" served

# Only the query tells the request that crashes targets from the shared one.
crash='/look/today?/crash-1'
for i in $(seq 30); do
    send_request $((i % 3)) "$crash" "bad$i" >/dev/null
done
check "a variant that crashes targets is sent no more by any host" \
    "$(late_sends "$crash")" within
check "its callers are told that it did not run" \
    "$(send_request 1 "$crash" bad.again)" 503
check "the shared request is served meanwhile" "$(served_most 12 beside)" served

sleep 2 # the store has the records
restart_hosts 0 1 2
for i in $(seq 12); do
    send_request $((i % 3)) "$crash" "late$i" >/dev/null
done
check "after a restart of all hosts, none sends the variant" \
    "$(late_sends "$crash")" within
check "and the shared request is served" "$(served_most 12 restarted)" served
[ "$failures" -eq 0 ] || tail -n 30 "$DIR"/edge*.log
[ "$failures" -eq 0 ]
