#!/bin/sh
# Checks a host on the users' platform, as a process, against its fake: crowds of all
# kinds at once, at each address. The host must keep its memory and descriptors,
# and serve others.
set -u
BASE=${BASE:-31600}
DIR=$(mktemp -d)
: "${BIN:=build/skylarkspar-check}" "${FAKE:=build/skyfake}"
trap 'kill -KILL $PIDS 2>/dev/null; rm -rf "$DIR"' EXIT
. tests/proc_check.sh
. tests/edge_site.sh
. tests/crowd_site.sh

start_crowd_site 1
crowd front mixed 280 2500 /look/1
crowd front mixed 280 2500 /no/route
crowd hosts mixed 280 2500 /share
crowd ready mixed 280 2500 /readyz
crowd metrics mixed 280 2500 /metrics
report_crowds
