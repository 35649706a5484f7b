#!/bin/sh
# Checks hosts on the users' platform, as processes, against its fake: a newer
# software version joins while hosts are lost. A stream that began before it was
# listed goes on, though nobody was told of it; none is joined from both.
set -u
BASE=${BASE:-29200}
DIR=$(mktemp -d)
: "${BIN:=build/skylarkspar-check}" "${FAKE:=build/skyfake}"
trap 'kill -KILL $PIDS 2>/dev/null; rm -rf "$DIR"' EXIT
. tests/proc_check.sh
. tests/edge_site.sh
. tests/stream_site.sh

# list_second_version: engines 4 to 7 crash and come back with version v2;
# returns as soon as host 1 has one of them in its list
list_second_version() {
    set_fault '{"second_software_from": 4}'
    for n in 4 5 6 7; do
        curl -fsS -m 5 -d '' "$control_url/crash?n=$n" >/dev/null
    done
    for _ in $(seq 1 100); do
        grep -q 'event=target_listed .*software=v2' "$DIR/edge1.log" && return
        sleep 0.05
    done
}
start_site 8
publish_config 7 ""
for n in 0 1 2; do
    check "host $n becomes ready" "$(until_status 200 50 readyz_status $n)" 200
done
: >"$DIR/taken"
sleep 1

# Guards against refusing streams whose host was lost before it told of them.
begin 0 $(ids a)
kill -KILL "$EDGE0"
list_second_version
go_on 1 b $(ids a)
check "lost before a second version is listed: no stream is joined" \
    "$(mixed_within)" within
check "and most go on" "$(gone_on)" "half or more"
[ "$failures" -eq 0 ] || tail -n 30 "$DIR"/edge*.log
[ "$failures" -eq 0 ]
