#!/bin/sh
# Checks hosts on the users' platform, as processes, against its fake: targets
# whose adapter slots are all in use, while newer versions of their adapters are
# announced one after the other and orders are lost, late or answered by
# something else. No target may be ordered to load more than it has slots for.
set -u
BASE=${BASE:-30400}
DIR=$(mktemp -d)
: "${BIN:=build/skylarkspar-check}" "${FAKE:=build/skyfake}"
trap 'kill -KILL $PIDS 2>/dev/null; rm -rf "$DIR"' EXIT
. tests/proc_check.sh
. tests/edge_site.sh

# announce_version ADAPTER VERSION
announce_version() {
    curl -fsS -m 5 -d "{\"model\":\"m1\",\"adapter\":\"$1\",\"version\":$2}" \
        "$control_url/op?key=version/m1.$1" >/dev/null
}
# request_series NAME: 20 rounds of streams by 30 adapters, four of which get a
# newer version in each round; prints how many of 14 are served in the end
request_series() {
    round=0
    while [ $round -lt 20 ]; do
        round=$((round + 1))
        for a in 0 3 6 9 12 15 18 21 24 27; do
            send_generation $((a % 3)) /gen/1 "a$(((a + round) % 30))" \
                "$1.$round.$a" >/dev/null &
        done
        for a in 0 6 15 24; do
            sleep 0.04
            version=$((version + 1))
            announce_version "a$(((a + round) % 30))" $version
        done
    done
    for a in 0 1 2 3 4 5 6 7 8 9 10 11 12 13; do
        until_status 200 40 send_generation $((a % 3)) /gen/2 "a$a" "$1.$a"
    done | grep -o 200 | wc -l
}
version=1

start_site 3
publish_config 7 ""
for n in 0 1 2; do
    check "host $n becomes ready" "$(until_status 200 50 readyz_status $n)" 200
done
check "newer versions: adapters are served" "$(request_series v)" 14
check "no load beyond the adapter slots" "$(state_field overfilled)" 0
set_fault '{"odd_polls": 40}'
check "odd responses to polls: adapters are served" "$(request_series o)" 14
check "no load beyond the adapter slots" "$(state_field overfilled)" 0
set_fault '{"odd_polls": 0, "lose_orders": 30, "late_orders": 30}'
check "lost and late orders: adapters are served" "$(request_series l)" 14
check "no load beyond the adapter slots" "$(state_field overfilled)" 0
[ "$failures" -eq 0 ] || tail -n 30 "$DIR"/edge*.log
[ "$failures" -eq 0 ]
