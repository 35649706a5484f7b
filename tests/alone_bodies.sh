#!/bin/sh
# Checks a host on the users' platform, as a process, against its fake: crowds send
# large bodies, whole, in pieces, cut short or without end, to all addresses. The
# host must keep its memory and serve others.
set -u
BASE=${BASE:-31600}
DIR=$(mktemp -d)
: "${BIN:=build/skylarkspar-check}" "${FAKE:=build/skyfake}"
trap 'kill -KILL $PIDS 2>/dev/null; rm -rf "$DIR"' EXIT
. tests/proc_check.sh
. tests/edge_site.sh
. tests/crowd_site.sh

start_crowd_site 1
for kind in whole pieces chunked short; do
    crowd front $kind 60 1500 /look/1
    crowd hosts $kind 200 1500 /share
done
crowd front short 60 1000 /no/route
crowd hosts over_chunked 60 1000 /no/route
crowd front over_chunked 60 1000 /look/1
crowd front over 60 1000 /no/route
for address in ready metrics; do
    crowd $address over_chunked 60 1000 /readyz
    crowd $address short 60 1000 /metrics
done
report_crowds
