#!/bin/sh
# Checks a host on the users' platform, as a process, against its fake: crowds read
# large and streamed responses slowly or not at all. The host must keep its
# memory, and hold no target for a caller that has gone.
set -u
BASE=${BASE:-31600}
DIR=$(mktemp -d)
: "${BIN:=build/skylarkspar-check}" "${FAKE:=build/skyfake}"
trap 'kill -KILL $PIDS 2>/dev/null; rm -rf "$DIR"' EXIT
. tests/proc_check.sh
. tests/edge_site.sh
. tests/crowd_site.sh

start_crowd_site 2
crowd front slow_reader 100 1500 /gen/1
crowd front no_reader 100 1500 /gen/1
set_fault '{"large_kb": 3000}'
crowd front slow_reader 60 2500 /look/1
crowd front no_reader 60 2500 /look/1
set_fault '{"large_chunked": 1}'
crowd front no_reader 60 2500 /look/1
set_fault '{"large_kb": 0, "large_chunked": 0}'
check "an ordinary response is small again" "$(until_status 200 25 ordinary)" \
    200
crowd metrics slow_reader 200 1500 /metrics

# With a short idle timeout: a caller that reads nothing held a target until the
# request's deadline, and one that sent a byte now and then held its connection
# for ever.
publish_config 8 "" 4194304 "" 1000
set_fault '{"large_kb": 16000}'
sleep 1
crowd front no_reader 12 3000 /look/1
check "callers that read nothing are closed" "$(closed_count)" 12
check "and counted" "$([ "$(refused_count slow_reader)" -gt 0 ] && echo yes)" \
    yes
set_fault '{"large_kb": 0}'
crowd front slow_body 30 3000 /look/1 4000
check "bodies that are too slow are refused" "$(closed_count)" 30
check "and counted" "$(refused_count slow_body)" 30
report_crowds
