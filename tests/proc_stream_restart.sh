#!/bin/sh
# Checks hosts on the users' platform, as processes, against its fake: all hosts
# are killed at once, and callers take their streams up again. No stream may be
# joined from two software versions, also when the first one is gone by then.
set -u
BASE=${BASE:-25600}
DIR=$(mktemp -d)
: "${BIN:=build/skylarkspar-check}" "${FAKE:=build/skyfake}"
trap 'kill -KILL $PIDS 2>/dev/null; rm -rf "$DIR"' EXIT
. tests/proc_check.sh
. tests/edge_site.sh
. tests/stream_site.sh

# replace_engines FROM: all engines crash and start again, as of version v2
# from this number on
replace_engines() {
    set_fault "{\"second_software_from\": $1}"
    for n in 0 1 2 3 4 5 6 7; do
        curl -fsS -m 5 -d '' "$control_url/crash?n=$n" >/dev/null
    done
    sleep 3
}
start_site 8
publish_config 7 ""
for n in 0 1 2; do
    check "host $n becomes ready" "$(until_status 200 50 readyz_status $n)" 200
done
: >"$DIR/taken"
sleep 1

begin 0 $(ids a)
restart_hosts 0 1 2
go_on 1 b $(ids a)
check "one version: streams go on after a restart of all hosts" \
    "$(gone_on)" "half or more"

begin 0 $(ids c)
replace_engines -1
restart_hosts 0 1 2
go_on 1 d $(ids c)
# Guards against a restarted host that takes the version that it sees for the
# only one.
check "the first version has left: its streams go on nowhere" \
    "$(mixed_within)" within
check "their callers are told when to come back" \
    "$(grep -li '^Retry-After: [0-9]' "$DIR"/head.d-* | wc -l)" 12
: >"$DIR/taken"
check "and begin anew" "$(stream 2 e1) $(event_count e1)" "200 8"

replace_engines 4
begin 2 $(ids f)
kill_hosts 0 1 2
start_edge 0
until_status 200 60 readyz_status 0 >/dev/null
go_on 0 g $(ids f)
check "both versions: taken up at the first host that is back" \
    "$(mixed_within)" within
# Guards against hosts that refuse what could go on at the version that began it.
check "and most go on" "$(gone_on)" "half or more"
start_edge 1
start_edge 2
for n in 1 2; do until_status 200 60 readyz_status $n >/dev/null; done
go_on 2 h $(ids f)
check "and at the last one" "$(mixed_within)" within
check "and most go on there too" "$(gone_on)" "half or more"

replace_engines -1
begin 1 $(ids i)
replace_engines 0
restart_hosts 0 1 2
go_on 0 j $(ids i)
check "back to the first version: streams of the second go on nowhere" \
    "$(mixed_within)" within
[ "$failures" -eq 0 ] || tail -n 30 "$DIR"/edge*.log
[ "$failures" -eq 0 ]
