#!/bin/sh
# Checks hosts on the users' platform, as processes, against its fake: targets
# run two versions of their software, and a stream must go on only at the
# version that began it, whether a host takes it up within one response or a
# caller takes it up at another host.
set -u
BASE=${BASE:-22700}
DIR=$(mktemp -d)
: "${BIN:=build/skylarkspar-check}" "${FAKE:=build/skyfake}"
trap 'kill -KILL $PIDS 2>/dev/null; rm -rf "$DIR"' EXIT
. tests/proc_check.sh
. tests/edge_site.sh
. tests/stream_site.sh

start_site 8
publish_config 7 ""
for n in 0 1 2; do
    check "host $n becomes ready" "$(until_status 200 50 readyz_status $n)" 200
done
: >"$DIR/taken"
check "one version: a stream that no host knows goes on" \
    "$(stream 0 u1 -H 'Last-Event-Id: 3' -H 'Resumes: nobody')" 200

begin 0 early1 early2
set_fault '{"second_software_from": 4}'
for n in 4 5 6 7; do
    curl -fsS -m 5 -d '' "$control_url/crash?n=$n" >/dev/null
done
sleep 2
go_on 1 b early1 early2
check "a stream that began before the second version goes on at the first" \
    "$(mixed_within) $(versions "$DIR/body.b-early1")" "within v1 "
check "and none is refused" "$(gone_on)" "half or more"

mixed=0
both=""
for i in $(seq 1 24); do
    set_fault '{"cut_streams": 1}'
    stream $((i % 3)) "c$i" >/dev/null
    seen=$(versions "$DIR/body.c$i")
    both="$both $seen"
    [ "$seen" = "v1 v2 " ] && mixed=$((mixed + 1))
done
set_fault '{"cut_streams": 0}'
check "both versions begin streams" \
    "$(echo "$both" | tr ' ' '\n' | sort -u | tr -d '\n')" v1v2
check "a host takes a stream up at the version that began it" \
    "$([ $mixed -le $MIXED_MAX ] && echo within || echo "$mixed mixed")" within
check "and it is whole" "$(event_count c24)" 8

begin 0 $(ids d)
go_on 1 e $(ids d)
check "a caller takes a stream up at another host" "$(mixed_within)" within
check "and most go on" "$(gone_on)" "half or more"
begin 2 $(ids f)
set_fault '{"hang_streams": 0, "cut_streams": 6}'
go_on 0 g $(ids f)
set_fault '{"cut_streams": 0}'
check "it breaks again there" "$(mixed_within)" within
check "and most go on there too" "$(gone_on)" "half or more"

begin 0 $(ids h)
kill_hosts 0
go_on 1 i $(ids h)
go_on 2 j $(ids h)
check "the host that passed it on is gone" "$(mixed_within)" within
check "and most go on" "$(gone_on)" "half or more"
start_edge 0
until_status 200 60 readyz_status 0 >/dev/null
go_on 0 k $(ids h)
check "taken up at the host that has restarted" "$(mixed_within)" within
check "and most go on there" "$(gone_on)" "half or more"

begin 1 $(ids l)
kill -STOP "$EDGE1"
go_on 2 m $(ids l)
kill -CONT "$EDGE1"
check "the host that passed it on is suspended" "$(mixed_within)" within
check "and most go on all the same" "$(gone_on)" "half or more"

set_fault '{"store_down_0": 1, "store_down_1": 1, "store_down_2": 1}'
begin 0 $(ids n)
go_on 1 o $(ids n)
check "store unreachable: taken up at another host" "$(mixed_within)" within
check "store unreachable: most go on" "$(gone_on)" "half or more"
set_fault '{"store_down_0": 0, "store_down_1": 0, "store_down_2": 0}'
sleep 2

check "a stream that no host knows is refused" \
    "$(stream 0 u2 -H 'Last-Event-Id: 3' -H 'Resumes: stranger')" 503
check "its caller is told when to come back" \
    "$(grep -ci '^Retry-After: [0-9]' "$DIR/head.u2")" 1
begin 0 $(ids p)
for n in 4 5 6 7; do
    curl -fsS -m 5 -d '' "$control_url/leave?n=$n" >/dev/null
done
sleep 1
asked_ms=$(date +%s%3N)
go_on 1 q $(ids p)
check "the second version is gone: its streams go on nowhere" \
    "$(mixed_within)" within
check "and are refused at once" \
    "$([ $(($(date +%s%3N) - asked_ms)) -lt 4000 ] && echo yes)" yes
check "those of the first go on" \
    "$(grep -c ' 200$' "$DIR/taken" | sed 's/^[1-9].*/some/')" some
check "new streams begin" "$(stream 2 u3)" 200
[ "$failures" -eq 0 ] || tail -n 30 "$DIR"/edge*.log
[ "$failures" -eq 0 ]
