#!/bin/sh
# Checks that hosts which heard nothing for a while send no late request to a
# target whose entry was taken away meanwhile: a host that stands still, and one
# that runs in short bursts. An outage of the store costs no target.
set -u
BASE=${BASE:-28000}
DIR=$(mktemp -d)
: "${BIN:=build/skylarkspar-check}" "${FAKE:=build/skyfake}"
trap 'kill -CONT $PIDS 2>/dev/null; kill -KILL $PIDS 2>/dev/null; rm -rf "$DIR"' EXIT
. tests/proc_check.sh
. tests/edge_site.sh

change_target() { # vanish|appear TARGET
    curl -fsS -m 5 "$control_url/$1?n=$2" >/dev/null
}
# send_for HOST SECONDS NAME: sends requests one after the other; the statuses
# are in FILE status.NAME
send_for() {
    end=$(($(date +%s%3N) + $2 * 1000))
    i=0
    while [ "$(date +%s%3N)" -lt $end ]; do
        i=$((i + 1))
        send_request "$1" /look/1 "$3.$i"
        echo
        sleep 0.01
    done >"$DIR/status.$3"
}
failed_of() { # NAME...: prints how many requests got no 200
    for name in "$@"; do cat "$DIR/status.$name"; done | grep -vc '^200$'
}

start_site 1 2 3
publish_config 7 ""
for n in 0 1 2; do
    check "host $n becomes ready" "$(until_status 200 50 readyz_status $n)" 200
    check "host $n serves" \
        "$(until_status 200 30 send_request $n /look/1 "first$n")" 200
done
sleep 2.5

kill -STOP "$EDGE0"
sleep 1.6
change_target vanish 0
sleep 0.3
kill -CONT "$EDGE0"
send_for 0 4 pause
check "a host stood still: late sends to the target that vanished" \
    "$(state_field late_sends)" 0
check "a host stood still: requests that failed" "$(failed_of pause)" 0
change_target appear 0
sleep 3

late_before=$(state_field late_sends)
kill -STOP "$EDGE0"
sleep 0.2
change_target vanish 0
sleep 2.6
for i in 1 2 3 4 5 6 7 8 9 10 11 12; do
    send_request 0 /look/1 "thaw$i" >"$DIR/thaw$i" &
    thaw_pids="${thaw_pids:-} $!"
done
sleep 0.3
kill -CONT "$EDGE0"
wait $thaw_pids
check "requests of the time in which a host stood still: late sends" \
    "$(($(state_field late_sends) - late_before))" 0
check "requests of the time in which a host stood still: served" \
    "$(cat "$DIR"/thaw* | grep -o 200 | wc -l)" 12
change_target appear 0
sleep 3

late_before=$(state_field late_sends)
for i in $(seq 25); do
    kill -STOP "$EDGE0"
    sleep 0.18
    kill -CONT "$EDGE0"
    sleep 0.02
    [ "$i" = 8 ] && change_target vanish 0
done &
burst_pid=$!
send_for 0 7 burst
wait $burst_pid
check "a host runs in short bursts: late sends" \
    "$(($(state_field late_sends) - late_before))" 0
check "a host runs in short bursts: requests that failed" \
    "$(failed_of burst)" 0
change_target appear 0
sleep 3

late_before=$(state_field late_sends)
set_fault '{"store_down_0": 1, "store_down_1": 1, "store_down_2": 1}'
sleep 2.5
change_target vanish 0
change_target vanish 1
set_fault '{"store_down_0": 0, "store_down_1": 0, "store_down_2": 0}'
sleep 1.5 &
back_pid=$!
for n in 0 1 2; do
    send_for $n 1 "outage$n" &
    outage_pids="${outage_pids:-} $!"
done
wait $outage_pids $back_pid
change_target appear 0
change_target appear 1
for n in 0 1 2; do
    send_for $n 2 "back$n" &
    outage_pids="$outage_pids $!"
done
wait $outage_pids
check "entries lapsed in an outage of the store: requests that failed" \
    "$(failed_of outage0 outage1 outage2 back0 back1 back2)" 0
kill -KILL $PIDS 2>/dev/null
[ "$failures" -gt 0 ] && grep -hE \
    'event=(feed_gap|target_missing|sent_by_old|store_|loop_late|list_)' "$DIR"/edge*.log |
    tail -n 40
[ "$failures" -eq 0 ]
