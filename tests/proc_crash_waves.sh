#!/bin/sh
# Checks hosts on the users' platform, as processes, against its fake: a
# request that crashes all targets of a service without engines, which come
# back under new ids, must soon reach no target any more, though its callers
# repeat it at once at any host; sound requests are served meanwhile.
set -u
BASE=${BASE:-23500}
DIR=$(mktemp -d)
: "${BIN:=build/skylarkspar-check}" "${FAKE:=build/skyfake}"
trap 'kill -KILL $PIDS 2>/dev/null; rm -rf "$DIR"' EXIT
. tests/proc_check.sh
. tests/edge_site.sh

# The rule: sends later than stableMs after the third crash.
LATE_SENDS_MAX=3
# repeat_at_once PATH SECONDS HOST...: sends a request to each host in turn,
# 0.05 s apart, whether or not the one before has ended
repeat_at_once() {
    path=$1 end_s=$(($(date +%s) + $2))
    shift 2
    i=0
    while [ "$(date +%s)" -lt "$end_s" ]; do
        for n in "$@"; do
            i=$((i + 1))
            curl -sS -m 2 -o /dev/null -X POST -d prompt -H 'Host: a.example' \
                -H "X-Skylarkspar-Attempt-Id: c$i$path" \
                -H 'X-Skylarkspar-Deadline-Ms: 1500' \
                "http://$(front_address "$n")$path" 2>/dev/null &
            sleep 0.05
        done
    done
}
# sound_load PHASE SECONDS: sends sound requests to all hosts in turn, 0.1 s
# apart; writes the status of each to sound.PHASE
sound_load() {
    phase=$1 sound_end_s=$(($(date +%s) + $2))
    i=0
    while [ "$(date +%s)" -lt "$sound_end_s" ]; do
        i=$((i + 1))
        curl -sS -m 2 -o /dev/null -w '%{http_code}\n' -X POST -d "prompt $i" \
            -H 'Host: a.example' -H "X-Skylarkspar-Attempt-Id: s$phase$i" \
            -H 'X-Skylarkspar-Deadline-Ms: 1500' \
            "http://$(front_address $((i % 8)))/look/sound$i" \
            >>"$DIR/sound.$phase" 2>/dev/null &
        sleep 0.1
    done
    sleep 2
}
# percent_ok PHASE: prints "served" if 95 of 100 were, else the percentage
percent_ok() {
    awk '$1 == 200 {ok++}
        END {p = int(100 * ok / NR); print (p >= 95) ? "served" : p}' \
        "$DIR/sound.$1"
}

hosts="0 1 2 3 4 5 6 7"
USE_LINKS=1
start_site 3 3 8
publish_config 7 ""
for n in $hosts; do
    check "host $n becomes ready" "$(until_status 200 50 readyz_status $n)" 200
done
for n in $hosts; do
    until_status 200 40 send_request $n /look/1 "first$n" >/dev/null
done

repeat_at_once /look/crash-1 8 0
check "it is sent no more by the host that sent it" \
    "$(late_sends /look/crash-1)" within
repeat_at_once /look/crash-2 8 $hosts &
repeat_pid=$!
sleep 4
sound_load waves 4
wait $repeat_pid
check "it is sent no more by any host" "$(late_sends /look/crash-2)" within
check "sound requests are served while its callers repeat it" \
    "$(percent_ok waves)" served

repeat_pids=""
for n in $hosts; do
    repeat_at_once /look/crash-3 8 $n &
    repeat_pids="$repeat_pids $!"
done
wait $repeat_pids
check "it is sent no more after volleys at all hosts" \
    "$(late_sends /look/crash-3)" within

repeat_at_once /book/crash-4 8 $hosts
check "nor if it may run once only" "$(late_sends /book/crash-4)" within

cut_host 0 2
cut_host 1 1
cut_host 2 3
sleep 1
repeat_at_once /look/crash-7 8 0 1 2
check "nor by way of other hosts for hosts that are cut off" \
    "$(late_sends /look/crash-7)" within
for n in 0 1 2; do cut_host $n 0; done
sleep 2

repeat_at_once /look/crash-5 9 $hosts &
repeat_pid=$!
sleep 1
kill -STOP "$EDGE1"
kill_hosts 2
sleep 1
start_edge 2
publish_config 8 ',{"name":"look2","host":"a.example","pathPrefix":"/look/x/",
    "routeKind":"idempotent","timeoutMs":1500,"service":"app","maxAttempts":2}'
sleep 2
kill -CONT "$EDGE1"
wait $repeat_pid
check "nor by a host that was suspended or restarted meanwhile" \
    "$(late_sends /look/crash-5)" within

store_down() { # 0 or 1
    for n in $hosts; do set_fault "{\"store_down_$n\": $1}"; done
}
store_down 1
repeat_at_once /look/crash-6 8 $hosts
check "nor with the store unreachable" "$(late_sends /look/crash-6)" within
store_down 0
repeat_at_once /look/crash-6 6 $hosts
check "nor when it is back" "$(late_sends /look/crash-6)" within
sound_load end 4
check "sound requests are served at the end" "$(percent_ok end)" served
[ "$failures" -eq 0 ] || tail -n 30 "$DIR"/edge*.log
[ "$failures" -eq 0 ]
