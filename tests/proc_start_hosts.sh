#!/bin/sh
# Checks that 20 hosts which start at once, without a seed that responds, all
# become ready, while only a few of them read the store; also after all were
# killed. Guards against a start in which each host reads all topics.
set -u
BASE=${BASE:-32500}
DIR=$(mktemp -d)
: "${BIN:=build/skylarkspar-check}" "${FAKE:=build/skyfake}"
trap 'kill -KILL $PIDS 2>/dev/null; rm -rf "$DIR"' EXIT
. tests/proc_check.sh
. tests/edge_site.sh

HOSTS=$(seq 0 19)
# start_hosts: they share one port of the store, and their seeds are stale
start_hosts() {
    for n in $HOSTS; do
        write_edge_settings "$n" 0
        sed -i -e "s/^ttlMinMs = .*/ttlMinMs = 10000/" \
            -e "s/^seeds = .*/seeds = [\"127.0.0.1:$((BASE + 90))\"]/" \
            "$DIR/edge$n.toml"
        start_edge "$n"
    done
}
ready_count() {
    for n in $HOSTS; do readyz_status "$n"; echo; done 2>/dev/null |
        grep -c 200
}
readers() { grep -l 'event=feed_snapshot' "$DIR"/edge*.log | wc -l; }
told() { grep -l 'event=start_sources' "$DIR"/edge*.log | wc -l; }

"$FAKE" site "$BASE" 8 2 4 1 >"$DIR/site.log" 2>&1 &
SITE=$!
PIDS="$PIDS $SITE"
sleep 0.3
publish_config 7 ""
# The first 16 hosts that join find a small group, and read the store
# themselves. After the kill, the former members are still in the group, and the
# store is silent until all processes run: on a busy machine they start 50 ms
# apart, and each one then starts alone. ttlMinMs keeps the former members for
# longer than that takes.
for run in first killed; do
    before=$(state_field reads)
    [ "$run" = killed ] && kill -STOP $SITE
    start_hosts
    [ "$run" = killed ] && sleep 0.2 && kill -CONT $SITE
    check "$run: all hosts become ready" "$(until_status 20 25 ready_count)" 20
    echo "$run: $(readers) hosts read the store, $(told) were told of others," \
        "$(($(state_field reads) - before)) reads"
    [ "$run" = killed ] && break
    for n in $HOSTS; do eval "kill -KILL \$EDGE$n"; done
done
check "few hosts read the store" \
    "$([ "$(readers)" -le 12 ] && echo yes || readers)" yes
check "the others were told whom to poll" \
    "$([ "$(told)" -ge 8 ] && echo yes || told)" yes
[ "$failures" -eq 0 ] || grep -h 'event=start_\|event=readiness' \
    "$DIR"/edge*.log
[ "$failures" -eq 0 ]
