#!/bin/sh
# Checks hosts on the users' platform, as processes, against its fake: a
# request that crashes each target which begins to run it must soon reach no
# target any more, whichever host it comes in at.
set -u
BASE=${BASE:-21700}
DIR=$(mktemp -d)
: "${BIN:=build/skylarkspar-check}" "${FAKE:=build/skyfake}"
trap 'kill -KILL $PIDS 2>/dev/null; rm -rf "$DIR"' EXIT
. tests/proc_check.sh
. tests/edge_site.sh

# The rule: sends later than stableMs after the third crash.
LATE_SENDS_MAX=3
request_count=0
# send_crashing PATH HOST...: sends the request to one host after the other,
# 0.4 s apart
send_crashing() {
    path=$1
    shift
    for n in "$@"; do
        request_count=$((request_count + 1))
        send_request "$n" "$path" "k$request_count" -X POST -d prompt \
            -H 'X-Skylarkspar-Model: m1' >/dev/null
        sleep 0.4
    done
}
# served HOST ID: prints the status of an ordinary stream
served() { until_status 200 40 send_request "$1" /gen/1 "$2" -X POST -d prompt \
    -H 'X-Skylarkspar-Model: m1'; }

start_site 4
publish_config 7 ""
for n in 0 1 2; do
    check "host $n becomes ready" "$(until_status 200 50 readyz_status $n)" 200
done
check "an ordinary stream is served" "$(served 0 s1)" 200

send_crashing /gen/crash-1 0 0 0 0 0 0 0 0 0 0 0 0
check "a request that crashed targets is sent no more by the host that sent it" \
    "$(late_sends /gen/crash-1)" within
check "its caller is told that it did not run" \
    "$(send_request 0 /gen/crash-1 q1 -X POST -d prompt \
        -H 'X-Skylarkspar-Model: m1')" 503
check "its caller is told when to come back" \
    "$(grep -ci '^Retry-After: [1-9][0-9][0-9]' "$DIR/head.q1")" 1
send_crashing /gen/crash-2 0 1 2 0 1 2 0 1 2 0 1 2
check "a request that crashed targets is sent no more by any host" \
    "$(late_sends /gen/crash-2)" within
check "another request on the same route is served" "$(served 1 s2)" 200

restart_hosts 2
send_crashing /gen/crash-2 2 2 2 2 2 2
check "a restarted host does not send it" \
    "$(late_sends /gen/crash-2)" within
kill -STOP "$EDGE1"
send_crashing /gen/crash-3 0 2 0 2 0 2
kill -CONT "$EDGE1"
send_crashing /gen/crash-3 1 1 1 1 1 1
check "a host that was suspended meanwhile does not send it" \
    "$(late_sends /gen/crash-3)" within
restart_hosts 0 1 2
send_crashing /gen/crash-2 0 1 2 0 1 2
check "after a restart of all hosts, none sends it" \
    "$(late_sends /gen/crash-2)" within

curl -fsS -m 5 -d '' "$control_url/go-back?n=60" >/dev/null
publish_config 7 ""
sleep 4
restart_hosts 0 1 2
send_crashing /gen/crash-2 0 1 2 0 1 2
check "after the log went back and all hosts restarted, none sends it" \
    "$(late_sends /gen/crash-2)" within

sleep 3 # until the hosts know the engines that have restarted
set_fault '{"store_down_0": 1, "store_down_1": 1, "store_down_2": 1}'
sleep 1
send_crashing /gen/crash-4 0 1 2 0 1 2 0 1 2 0 1 2
check "store unreachable: no host sends it" \
    "$(late_sends /gen/crash-4)" within
restart_hosts 1
send_crashing /gen/crash-4 1 1 1 1 1 1
check "store unreachable: a restarted host does not send it" \
    "$(late_sends /gen/crash-4)" within
set_fault '{"store_down_0": 0, "store_down_1": 0, "store_down_2": 0}'
sleep 4
restart_hosts 0 1 2
send_crashing /gen/crash-4 0 1 2 0 1 2
check "after the outage and a restart of all hosts, none sends it" \
    "$(late_sends /gen/crash-4)" within
check "an ordinary stream is served at the end" "$(served 2 s3)" 200
[ "$failures" -eq 0 ] || tail -n 30 "$DIR"/edge*.log
[ "$failures" -eq 0 ]
