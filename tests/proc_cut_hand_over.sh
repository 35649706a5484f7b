#!/bin/sh
# Checks hosts on the users' platform, as processes, against its fake: 3 s after two
# of three hosts without requests are cut off from engines, all hosts load adapters,
# whichever of them owned the engines. CUT replaces the hosts that are cut off. With
# RESTART set, host 0 is started again 4 s after the cut, and all are asked at once.
set -u
BASE=${BASE:-26800}
DIR=$(mktemp -d)
: "${BIN:=build/skylarkspar-check}" "${FAKE:=build/skyfake}"
trap 'kill -KILL $PIDS 2>/dev/null; [ -n "${KEEP:-}" ] || rm -rf "$DIR"' EXIT
. tests/proc_check.sh
. tests/edge_site.sh

USE_LINKS=1
start_site 3 3
publish_config 7 ""
for n in 0 1 2; do
    check "host $n becomes ready" "$(until_status 200 50 readyz_status $n)" 200
done
for n in 0 1 2; do
    until_status 200 40 send_generation $n /gen/1 a1 "first$n" >/dev/null
done
sleep 4 # the last load report, and each host's part in ownership, settle
for n in ${CUT:-0 1}; do cut_host "$n" 1; done
sleep 3
if [ -n "${RESTART:-}" ]; then
    sleep 1
    restart_hosts 0
fi
adapter=12
for i in 1 2 3 4 5 6; do
    for n in 0 1 2; do
        adapter=$((adapter + 1))
        check "a request for a cold adapter is served by host $n" \
            "$(send_generation $n /gen/1 "a$adapter" "cold$adapter")" 200
        [ -z "${RESTART:-}" ] || sleep 0.1
    done
done
[ "$failures" -eq 0 ] || tail -n 30 "$DIR"/edge*.log
[ "$failures" -eq 0 ]
