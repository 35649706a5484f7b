#!/bin/sh
# Checks a host on the users' platform, as a process, against its fake: crowds open
# connections that send nothing, a byte at a time, or half of a body before a
# reset, at all addresses. The host must keep its descriptors for itself.
set -u
BASE=${BASE:-31600}
DIR=$(mktemp -d)
: "${BIN:=build/skylarkspar-check}" "${FAKE:=build/skyfake}"
trap 'kill -KILL $PIDS 2>/dev/null; rm -rf "$DIR"' EXIT
. tests/proc_check.sh
. tests/edge_site.sh
. tests/crowd_site.sh

start_crowd_site 1
for address in front ready metrics hosts; do
    crowd $address idle 1400 2000
done
crowd front slow_head 1400 1500 /look/1
crowd front slow_body 1000 2000 /no/route 4000
crowd hosts slow_body 1000 2000 /share 4000
crowd front reset 400 1000 /look/1
crowd hosts reset 400 1000 /share

# New callers were shut out for as long as a crowd of slow bodies held all
# connections.
"$FAKE" crowd "$(front_address 0)" slow_body 600 9000 /look/1 4000 \
    >/dev/null 2>&1 &
slow_pid=$!
PIDS="$PIDS $slow_pid"
sleep 3
served=""
for _ in $(seq 5); do served="$served$(ordinary) "; done
check "ordinary requests beside slow bodies" "$(echo "$served" |
    tr ' ' '\n' | sort -u | tr -d '\n')" 200
check "while the crowd is there" \
    "$(kill -0 $slow_pid 2>/dev/null && echo yes)" yes
wait $slow_pid

# A poll of a host that asks to be held for ever held its connection for ever,
# which no limit closes, as it has a request.
check "a held poll ends" "$(curl -sS -m 3 -o /dev/null -w '%{http_code}' \
    -d '{"hold_ms": 1000000000, "operator": [1000000, 1000000],
    "targets": [1000000, 1000000], "crashes": [1000000, 1000000],
    "owners": 1000000000000000000}' \
    "http://$(crowd_address hosts)/feed")" 200
report_crowds
