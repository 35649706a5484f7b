#!/bin/sh
# Checks hosts on the users' platform, as processes, against its fake: a plain
# service with few slots and a crowd of callers. No request is lost or run
# twice, refusals state that nothing was run and when to come again, and hosts
# go on when the owner of the turns is killed.
set -u
BASE=${BASE:-31200}
DIR=$(mktemp -d)
: "${BIN:=build/skylarkspar-check}" "${FAKE:=build/skyfake}"
trap 'kill -KILL $PIDS 2>/dev/null; rm -rf "$DIR"' EXIT
. tests/proc_check.sh
. tests/edge_site.sh

# crowd PHASE COUNT HOST...: sends COUNT requests to each of the hosts, in
# parallel; writes a line with id and status of each to crowd.PHASE, and the
# heads of the responses to head.ID
crowd() {
    phase=$1 count=$2
    shift 2
    crowd_pids=""
    for n in "$@"; do
        for i in $(seq "$count"); do
            echo "url = \"http://$(front_address "$n")/look/$phase\""
            echo "header = \"Host: a.example\""
            echo "header = \"X-Skylarkspar-Attempt-Id: $phase.$n.$i\""
            echo "header = \"X-Skylarkspar-Deadline-Ms: 1500\""
            echo "output = \"$DIR/body.$phase.$n.$i\""
            echo "dump-header = \"$DIR/head.$phase.$n.$i\""
            echo "write-out = \"$phase.$n.$i %{http_code}\\n\""
            echo "max-time = 8"
            echo "next"
        done | sed '$d' >"$DIR/config.$phase.$n"
        curl -sS --parallel --parallel-immediate --parallel-max 60 \
            -K "$DIR/config.$phase.$n" >"$DIR/crowd.$phase.$n" 2>/dev/null &
        crowd_pids="$crowd_pids $!"
    done
    wait $crowd_pids
    cat "$DIR"/crowd."$phase".* >"$DIR/crowd.$phase"
}
# count_status PHASE STATUS
count_status() { awk -v s="$2" '$2 == s {n++} END {print n + 0}' "$DIR/crowd.$1"; }
# count_wrong_runs PHASE: prints the requests that were not run just once if
# served, and not at all if refused with 503
count_wrong_runs() {
    state_map runs | tr -d '"' | tr ':' ' ' >"$DIR/runs"
    awk 'NR == FNR {runs[$1] = $2; next}
         ($2 == 200 && runs[$1] != 1) || ($2 == 503 && runs[$1] > 0) {n++}
         END {print n + 0}' "$DIR/runs" "$DIR/crowd.$1"
}
# count_bad_refusals PHASE: prints the refusals without Retry-After
count_bad_refusals() {
    bad=0
    for id in $(awk '$2 == 503 {print $1}' "$DIR/crowd.$1"); do
        grep -qi '^Retry-After' "$DIR/head.$id" || bad=$((bad + 1))
    done
    echo "$bad"
}
# metric_sum NAME HOST...: prints the sum of a counter of hosts
metric_sum() {
    name=$1
    shift
    for n in "$@"; do
        curl -fsS -m 5 "http://$(ready_address "$n")/metrics"
    done | awk -v name="$name" '$1 == name {sum += $2} END {print sum + 0}'
}
# positive NUMBER
positive() { [ "$1" -gt 0 ] && echo yes || echo "$1"; }

start_site 1 2
publish_config 7 ""
for n in 0 1 2; do
    check "host $n becomes ready" "$(until_status 200 50 readyz_status $n)" 200
done
set_fault '{"app_run_ms": 60, "app_room": 9}'

crowd calm 2 0 1 2
check "without a shortage all are served" "$(count_status calm 200)" 6
check "without a shortage no turn is taken" \
    "$(metric_sum sky_turns_given_total 0 1 2)" 0

crowd crowd 300 0 1 2
check "a crowd: every request is answered" \
    "$(($(count_status crowd 200) + $(count_status crowd 503)))" 900
check "a crowd: none is lost or run twice" "$(count_wrong_runs crowd)" 0
check "a crowd: refusals state when to come again" \
    "$(count_bad_refusals crowd)" 0
check "a crowd: turns were given" \
    "$(positive "$(metric_sum sky_turns_given_total 0 1 2)")" yes
check "a crowd: hosts log the shortage" \
    "$(positive "$(cat "$DIR"/edge*.log | grep -c 'event=service_short.*short=1\|service_short.*short=1')")" yes

# The owner is the host that gave turns.
owner=0
for n in 0 1 2; do
    [ "$(metric_sum sky_turns_given_total $n)" -gt 0 ] && owner=$n
done
others=$(echo 0 1 2 | tr ' ' '\n' | grep -v "$owner" | tr '\n' ' ')
crowd lost 300 $others &
lost_pid=$!
sleep 0.3
eval "kill -KILL \$EDGE$owner"
wait $lost_pid
check "owner lost: every request is answered" \
    "$(($(count_status lost 200) + $(count_status lost 503)))" 600
check "owner lost: none is lost or run twice" "$(count_wrong_runs lost)" 0
check "owner lost: requests are served" \
    "$(positive "$(count_status lost 200)")" yes
check "owner lost: refusals state when to come again" \
    "$(count_bad_refusals lost)" 0
sleep 4
crowd after 2 $others
check "afterwards all are served" "$(count_status after 200)" 4
[ "$failures" -eq 0 ] || tail -n 30 "$DIR"/edge*.log
[ "$failures" -eq 0 ]
