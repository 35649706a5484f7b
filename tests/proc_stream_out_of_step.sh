#!/bin/sh
# Checks a host that is out of step while targets of another software version
# join: it must not let a stream go on that began there through another host at
# a target of the version that it knows. It is cut off from the other hosts.
set -u
BASE=${BASE:-28800}
DIR=$(mktemp -d)
USE_LINKS=hosts
: "${BIN:=build/skylarkspar-check}" "${FAKE:=build/skyfake}"
trap 'kill -CONT $PIDS 2>/dev/null; kill -KILL $PIDS 2>/dev/null; rm -rf "$DIR"' EXIT
. tests/proc_check.sh
. tests/edge_site.sh
. tests/stream_site.sh

# begin_and_go_on PREFIX: begins streams at the other host, all at once, which
# are taken up 0.1 s later at the one that is cut off
begin_and_go_on() {
    set_fault '{"hang_streams": 12}'
    pids=""
    for id in $(ids "$1"); do
        stream "$other" "$id" -m 0.1 >/dev/null &
        pids="$pids $!"
    done
    wait $pids
    set_fault '{"hang_streams": 0}'
    pids=""
    for id in $(ids "$1"); do
        go_on "$cut" t "$id" &
        pids="$pids $!"
    done
    wait $pids
}
# join SOFTWARE_FROM: half of the targets start again, as others
join() {
    set_fault "{\"second_software_from\": $1}"
    for n in 4 5 6 7; do
        curl -fsS -m 5 -d '' "$control_url/crash?n=$n" >/dev/null
    done
}

start_site 8
publish_config 7 ""
for n in 0 1 2; do
    check "host $n becomes ready" "$(until_status 200 50 readyz_status $n)" 200
done
: >"$DIR/taken"
sleep 3

# A host that does not read the store all the time.
cut=0
for n in 0 1 2; do
    grep -h 'event=store_reader' "$DIR/edge$n.log" | tail -n 1 |
        grep -q 'reader=0' && cut=$n
done
other=$(((cut + 1) % 3))
cut_host "$cut" 2 hosts
sleep 1
join 4
sleep 4 # the introduction of the version is over
for round in a b c d e f; do
    begin_and_go_on "$round"
done
check "cut off from the other hosts: streams of two versions" \
    "$(mixed_within)" within
: >"$DIR/taken"
sleep 1
check "cut off: a stream that no host knows is refused" \
    "$(stream "$cut" u1 -H 'Last-Event-Id: 3' -H 'Resumes: stranger')" 503
check "cut off: new streams begin" "$(stream "$cut" n1)" 200
cut_host "$cut" 0 hosts
sleep 2
begin "$other" $(ids x)
go_on "$cut" y $(ids x)
check "in step again: streams of two versions" "$(mixed_within)" within
check "in step again: most go on" "$(gone_on)" "half or more"
[ "$failures" -eq 0 ] || tail -n 30 "$DIR/edge$cut.log"
[ "$failures" -eq 0 ]
