#!/bin/sh
# Checks hosts on the users' platform, as processes, against its fake: a target
# that names a limit gets from all hosts together no more than it takes, and
# not much less; what it doesn't take goes to other targets, or is refused at
# once.
set -u
BASE=${BASE:-21900}
DIR=$(mktemp -d)
: "${BIN:=build/skylarkspar-check}" "${FAKE:=build/skyfake}"
trap 'kill -KILL $PIDS 2>/dev/null; rm -rf "$DIR"' EXIT
. tests/proc_check.sh
. tests/edge_site.sh

# load PHASE PATH SECONDS HOST...: sends 5 to 7 requests a second to each of the
# hosts; writes a line with status and milliseconds of each to load.PHASE
load() {
    phase=$1 path=$2 end_s=$(($(date +%s) + $3))
    shift 3
    load_pids=""
    for n in "$@"; do
        (
            i=0
            while [ "$(date +%s)" -lt "$end_s" ]; do
                i=$((i + 1))
                curl -sS -m 8 -o /dev/null -w '%{http_code} %{time_total}\n' \
                    -X POST -d prompt -H 'Host: a.example' \
                    -H "X-Skylarkspar-Attempt-Id: $phase.$n.$i" \
                    -H 'X-Skylarkspar-Model: m1' \
                    -H 'X-Skylarkspar-Deadline-Ms: 5000' \
                    "http://$(front_address "$n")$path" 2>/dev/null &
                sleep 0.14
            done
            wait
        ) >"$DIR/load.$phase.$n" &
        load_pids="$load_pids $!"
    done
    wait $load_pids
    cat "$DIR"/load."$phase".* >"$DIR/load.$phase"
}
# percent_ok PHASE: prints the share of requests with status 200
percent_ok() { awk '$1 == 200 {ok++} END {print int(100 * ok / NR)}' "$DIR/load.$1"; }
# slow_refusals PHASE: prints the refusals that took over half a second
slow_refusals() { awk '$1 == 503 && $2 > 0.5' "$DIR/load.$1" | wc -l; }
# limit_counts TARGET: prints the fake's counts
limit_counts() {
    curl -fsS -m 5 "$control_url/state" |
        sed -n "s|.*\"$1\": *\"\([^\"]*\)\".*|\1|p"
}
# arrivals_within TARGET: prints "within", or the counts if they are not
arrivals_within() {
    limit_counts "$1" |
        awk '{print ($1 <= $3 && $1 > 0) ? "within" : $0}'
}
# arrivals_at_least TARGET COUNT: prints "enough", or the counts
arrivals_at_least() {
    limit_counts "$1" |
        awk -v wanted="$2" '{print ($5 >= wanted) ? "enough" : $0}'
}

start_site 3
publish_config 7 ""
for n in 0 1 2; do
    check "host $n becomes ready" "$(until_status 200 50 readyz_status $n)" 200
done

set_fault '{"limit_app": 30}'
load plain /look/1 8 0 1 2
check "a plain target with a limit gets no more than it takes" \
    "$(arrivals_within limit_app)" within
check "a plain target with a limit gets at least half of it" \
    "$(arrivals_at_least limit_app 12)" enough
check "what its only target doesn't take is refused at once" \
    "$(slow_refusals plain)" 0

set_fault '{"limit_0": 20}'
load engine /gen/1 8 0 1 2
check "an engine with a limit gets no more than it takes" \
    "$(arrivals_within limit_0)" within
check "other engines take over its requests" \
    "$(percent_ok engine | awk '{print ($1 >= 95) ? "served" : $1}')" served

set_fault '{"limit_1": 20, "limit_2": 20}'
load all /gen/2 8 0 1 2
for n in 0 1 2; do
    check "all engines with a limit: engine $n gets no more than it takes" \
        "$(arrivals_within "limit_$n")" within
done
check "all engines with a limit: the rest is refused at once" \
    "$(slow_refusals all)" 0

set_fault '{"store_down_0": 1, "store_down_1": 1, "store_down_2": 1}'
load outage /gen/3 8 0 1 2
for n in 0 1 2; do
    check "store unreachable: engine $n gets no more than it takes" \
        "$(arrivals_within "limit_$n")" within
done
set_fault '{"store_down_0": 0, "store_down_1": 0, "store_down_2": 0}'
sleep 2

# Owners of targets are lost and replaced.
load lost /gen/4 10 0 1 2 &
lost_pid=$!
sleep 2
kill -KILL "$EDGE1"
wait $lost_pid
for n in 0 1 2; do
    check "a host lost: engine $n gets no more than it takes" \
        "$(arrivals_within "limit_$n")" within
done

set_fault '{"limit_0": 0, "limit_1": 0, "limit_2": 0, "limit_app": 0}'
load end /gen/5 4 0 2
load end2 /gen/5 4 0 2
check "without limits all requests are served" \
    "$(percent_ok end2 | awk '{print ($1 >= 95) ? "served" : $1}')" served
[ "$failures" -eq 0 ] || tail -n 30 "$DIR"/edge*.log
[ "$failures" -eq 0 ]
