#!/bin/sh
# Checks hosts on the users' platform, as processes, against its fake: the
# store comes back from an older copy, has lost its newest records and changes
# of the group, and gives their offsets out again.
set -u
BASE=${BASE:-22100}
DIR=$(mktemp -d)
: "${BIN:=build/skylarkspar-check}" "${FAKE:=build/skyfake}"
trap 'kill -KILL $PIDS 2>/dev/null; rm -rf "$DIR"' EXIT
. tests/proc_check.sh
. tests/edge_site.sh

# go_back SECONDS: the store loses what it got in that time
go_back() { curl -fsS -m 5 -d '' "$control_url/go-back?n=$1" >/dev/null; }
# route NAME: a further route of a configuration
route() {
    echo ",{\"name\":\"$1\",\"host\":\"a.example\",\"pathPrefix\":\"/$1/\",
        \"routeKind\":\"idempotent\",\"timeoutMs\":1500,\"service\":\"app\"}"
}
# reads_in SECONDS: prints how often the store was read meanwhile
reads_in() {
    reads_before=$(state_field reads)
    sleep "$1"
    echo $(($(state_field reads) - reads_before))
}
# crash_counts PATH: prints the fake's counts of a crashing request
crash_counts() {
    curl -fsS -m 5 "$control_url/state" |
        sed -n "s|.*\"$1\": *\"\([^\"]*\)\".*|\1|p"
}
# send_crashing PATH HOST...: sends a crashing request to one host after the
# other
send_crashing() {
    path=$1
    shift
    for n in "$@"; do
        request_count=$((${request_count:-0} + 1))
        send_request "$n" "$path" "k$request_count" -X POST -d prompt \
            -H 'X-Skylarkspar-Model: m1' >/dev/null
        sleep 0.3
    done
}
# check_applied PREFIX ID WHAT: each host applies the route within 2 s
check_applied() {
    for n in 0 1 2; do
        check "$3: host $n" \
            "$(until_status 200 10 send_request $n "/$1/1" "$2$n")" 200
    done
}

start_site 4
publish_config 7 ""
for n in 0 1 2; do
    check "host $n becomes ready" "$(until_status 200 50 readyz_status $n)" 200
done
sleep 4
reads_before_drill=$(reads_in 3)
publish_config 8 ""
publish_config 9 "$(route new)"
check_applied new a "configuration 9 is applied"

# Configurations 8 and 9 are lost; only the newest is written again, so that the
# next one gets an offset that the hosts have read already.
go_back 2
for i in 1 2 3 4 5 6 7 8; do
    for n in 0 1 2; do send_request $n /new/1 "n$i$n"; echo; done
    sleep 0.2
done >"$DIR/statuses"
check "no host goes back to the configuration before" \
    "$(grep -vc 200 "$DIR/statuses")" 0
publish_config 9 "$(route new)"
publish_config 11 "$(route newer)"
check_applied newer b "configuration 11 is applied after the drill"
reads_after_drill=$(reads_in 3)
check "the store is read no more than twice as often as before" \
    "$([ "$reads_after_drill" -le $((2 * reads_before_drill)) ] && echo yes ||
        echo "$reads_after_drill, $reads_before_drill before")" yes
for a in 31 32 33 34 35 36; do
    check "adapter a$a is loaded after the drill" \
        "$(until_status 200 20 send_generation $((a % 3)) /gen/1 a$a l$a)" 200
done

sleep 3
go_back 2
sleep 0.3
go_back 2
publish_config 13 "$(route third)"
check_applied third c "configuration 13 is applied after two drills in a row"

sleep 3
set_fault '{"store_down_0": 2, "store_down_1": 2, "store_down_2": 2}'
sleep 1
go_back 3
set_fault '{"store_down_0": 0, "store_down_1": 0, "store_down_2": 0}'
write_edge_settings 3 3
start_edge 3
publish_config 15 "$(route fourth)"
check_applied fourth d "configuration 15 is applied after a drill in an outage"
check "a host that starts just then becomes ready" \
    "$(until_status 200 30 readyz_status 3)" 200
check "a host that starts just then applies it" \
    "$(until_status 200 10 send_request 3 /fourth/1 d3)" 200

sleep 3
send_crashing /gen/crash-1 0 1 2 0
sleep 2
crashes=$(crash_counts /gen/crash-1)
go_back 8
publish_config 15 "$(route fourth)"
sleep 4
kill_hosts 0 1 2 3
for n in 0 1 2; do start_edge $n; done
for n in 0 1 2; do until_status 200 60 readyz_status $n >/dev/null; done
send_crashing /gen/crash-1 0 1 2
check "a crashing request is known after a drill and a restart of all hosts" \
    "$(crash_counts /gen/crash-1)" "$crashes"
check "no target ever got a load beyond its adapter slots" \
    "$(state_field overfilled)" 0
[ "$failures" -eq 0 ] || tail -n 30 "$DIR"/edge*.log
[ "$failures" -eq 0 ]
