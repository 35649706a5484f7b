#!/bin/sh
# Checks a host on the users' platform, as a process, against its fake: crowds send
# many requests on each connection and read no response, or requests with many
# short fields. The host must keep its memory and serve others.
set -u
BASE=${BASE:-31600}
DIR=$(mktemp -d)
: "${BIN:=build/skylarkspar-check}" "${FAKE:=build/skyfake}"
trap 'kill -KILL $PIDS 2>/dev/null; rm -rf "$DIR"' EXIT
. tests/proc_check.sh
. tests/edge_site.sh
. tests/crowd_site.sh

start_crowd_site 1
# Ordinary requests beside the crowd must not be crowded out by requests that
# wait behind others of their own connection: some waited until their deadline.
"$FAKE" crowd "$(front_address 0)" pipelined 30 4000 /look/1 >/dev/null 2>&1 &
PIDS="$PIDS $!"
sleep 0.2
served=""
for _ in $(seq 20); do served="$served$(ordinary) "; done
check "ordinary requests beside the crowd" "$(echo "$served" |
    tr ' ' '\n' | sort -u | tr -d '\n')" 200
sleep 3
crowd front pipelined 30 2500 /look/1
crowd front pipelined 60 1500 /no/route
crowd hosts pipelined 60 1500 /no/route
for address in ready metrics; do
    crowd $address pipelined 60 1500 /metrics
done
crowd front fields 100 1500 /no/route
crowd front fields 30 1500 /look/1
crowd hosts fields 100 1500 /share
crowd metrics fields 100 1500 /metrics
report_crowds
