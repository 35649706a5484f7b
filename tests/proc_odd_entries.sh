#!/bin/sh
# Checks that entries of another writer among those of the targets end no host,
# stop none from following the list, and move no target: hosts that run, that
# hear of them from other hosts, and that start with them.
set -u
BASE=${BASE:-28400}
DIR=$(mktemp -d)
: "${BIN:=build/skylarkspar-check}" "${FAKE:=build/skyfake}"
trap 'kill -KILL $PIDS 2>/dev/null; rm -rf "$DIR"' EXIT
. tests/proc_check.sh
. tests/edge_site.sh

put_entry() { # KEY COUNT: the entry is read from standard input
    curl -fsS -m 20 --data-binary @- "$control_url/entry?key=$1&n=$2" >/dev/null
}
entry() { # ADDRESS FIELDS
    printf '{"service":"app","addr":"%s","zone":"z1","version":"v1",' "$1"
    printf '"state":"ready","coldLeftMs":0,"seq":1,"born":1%s}' "$2"
}
# entry_of ID ADDRESS: one of a target that is listed
entry_of() {
    born=$(sed -n "s/.*event=target_listed target=$1 .* born=\([0-9]*\) .*/\1/p" \
        "$DIR/edge0.log" | tail -n 1)
    printf '{"service":"app","addr":"%s","zone":"z1","version":"v1","slots":6,' "$2"
    printf '"state":"ready","coldLeftMs":0,"seq":9,"born":%s}' "$born"
}
repeat() { head -c "$2" /dev/zero | tr '\0' "$1"; }
unserved() { # HOST...: prints how many of 10 requests a host get no 200
    for n in "$@"; do
        for i in 1 2 3 4 5 6 7 8 9 10; do
            send_request "$n" /look/1 "$(date +%s%N)"
            echo
        done
    done | grep -vc '^200$'
}
alive() { # prints how many of the hosts run
    for n in 0 1 2; do
        eval "kill -0 \$EDGE$n" 2>/dev/null && echo alive
    done | grep -c alive
}

start_site 1 2 3
publish_config 7 ""
for n in 0 1 2; do
    check "host $n becomes ready" "$(until_status 200 50 readyz_status $n)" 200
done

{ entry 127.0.0.1:1 ',"slots":1,"x":' && repeat '[' 100000; } | put_entry i-deep 1
{ entry 127.0.0.1:1 ',"slots":1,"x":' | head -c -1 && repeat '[' 1500 &&
    repeat ']' 1500 && printf '}'; } | put_entry i-nested 1
for number in 18446744073709551617 1e400 -1 1.5 4294967297; do
    entry 127.0.0.1:1 ",\"slots\":$number" | put_entry "i-slots$number" 1
done
for port in 0 65536 4294967297 -1 ""; do
    entry "127.0.0.1:$port" ',"slots":1' | put_entry "i-port$port" 1
done
entry 127.0.0.1 ',"slots":1' | put_entry i-noport 1
printf '{"service":"app\303\050","addr":"127.0.0.1:1"}' | put_entry i-bytes 1
{ printf '{"service":"' && repeat x 2000000 && printf '"}'; } | put_entry i-large 1
printf '[1]' | put_entry 'odd%20key%26%23%25%3f' 60
sleep 1.5
check "odd entries: hosts that run" "$(alive)" 3
check "odd entries: requests that fail" "$(unserved 0 1 2)" 0
# Under the ids of both targets, at an address where nothing listens.
targets=$(sed -n 's/.*event=target_listed target=\(i-app[^ ]*\) .*/\1/p' \
    "$DIR/edge0.log" | sort -u)
check "targets of the service" "$(echo "$targets" | wc -l)" 2
for field in zone version coldLeftMs seq born; do
    for target in $targets; do
        entry_of "$target" 127.0.0.1:1 | sed "s/,\"$field\":[^,}]*//" |
            put_entry "$target" 1
    done
    sleep 1
    check "an entry of a target without $field: requests that fail" \
        "$(unserved 0 1 2)" 0
done
for target in $targets; do
    entry_of "$target" 127.0.0.1:1 | put_entry "$target" 1
done
sleep 1
check "an entry that moves a target: requests that fail" "$(unserved 0 1 2)" 0
for reason in 'invalid field=zone' 'invalid field=coldLeftMs' 'undated field=-' \
    'conflicting field=-'; do
    check "the log tells of it: $reason" "$(grep -c \
        "event=target_entry_ignored target=i-app.* reason=$reason" \
        "$DIR/edge0.log")" 2
done
# The targets write their own entries again.
for n in 0 1; do
    curl -fsS -m 5 "$control_url/appear?n=$n" >/dev/null
done
sleep 1
curl -fsS -m 5 "$control_url/vanish?n=0" >/dev/null
sleep 2.2
check "odd entries: requests that fail when a target has vanished" \
    "$(unserved 0 1 2)" 0
check "odd entries: all hosts follow the list" "$(state_field late_sends)" 0
curl -fsS -m 5 "$control_url/appear?n=0" >/dev/null

kill_hosts 2
start_edge 2
check "a host that starts with odd entries becomes ready" \
    "$(until_status 200 30 readyz_status 2)" 200
check "a host that starts with odd entries: requests that fail" \
    "$(unserved 2)" 0

printf '{"service":"other","addr":"127.0.0.1:1","zone":"z1","slots":4,' >"$DIR/many"
printf '"version":"v1","coldLeftMs":0,"seq":1,"state":"ready","born":1}' >>"$DIR/many"
put_entry i-many 10000 <"$DIR/many"
sleep 3
check "ten thousand entries: hosts that run" "$(alive)" 3
check "ten thousand entries: requests that fail" "$(unserved 0 1 2)" 0
kill_hosts 0
start_edge 0
check "ten thousand entries: a host that starts becomes ready" \
    "$(until_status 200 50 readyz_status 0)" 200
check "ten thousand entries: requests that fail at a host that started" \
    "$(unserved 0)" 0
kill -KILL $PIDS 2>/dev/null
[ "$failures" -gt 0 ] && for n in 0 1 2; do tail -n 8 "$DIR/edge$n.log"; done
[ "$failures" -eq 0 ]
