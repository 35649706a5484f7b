#!/bin/sh
# Checks hosts on the users' platform, as processes, against its fake: a target
# stops in the middle of its response's head and closes the connection. That is no
# response; the request may have run.
set -u
BASE=${BASE:-29800}
DIR=$(mktemp -d)
: "${BIN:=build/skylarkspar-check}" "${FAKE:=build/skyfake}"
trap 'kill -KILL $PIDS 2>/dev/null; rm -rf "$DIR"' EXIT
. tests/proc_check.sh
. tests/edge_site.sh

# cut_head BYTES COMMAND...: runs a request whose target sends so many bytes of
# its head, and waits for the target, which crashes
cut_head() {
    set_fault "{\"cut_heads\": 1, \"cut_head_bytes\": $1}"
    shift
    "$@"
    set_fault '{"cut_heads": 0}'
    sleep 1.5
}
book() { send_request "$1" /book/1 "$2" -X POST -d "order $2"; }
look() { send_request "$1" "/look/$2" "$2"; }
# stream HOST PATH ID
stream() {
    send_request "$1" "$2" "$3" -X POST -d "prompt $3" \
        -H 'X-Skylarkspar-Model: m1'
}
# body ID: prints the size of a response's body
body() { wc -c <"$DIR/body.$1" 2>/dev/null || echo none; }

USE_LINKS=1
start_site 4 3
publish_config 7 ""
for n in 0 1 2; do
    check "host $n becomes ready" "$(until_status 200 50 readyz_status $n)" 200
    until_status 200 40 look $n "first$n" >/dev/null
done

# Within the status line, after it, within a name and a value, before the empty
# line and within it.
for bytes in 5 15 17 25 33 60 9999; do
    check "cut after $bytes bytes: a request that must not be repeated fails" \
        "$(cut_head $bytes book 0 "b$bytes") $(body "b$bytes")" "502 0"
    check "and has run once" "$(run_count "b$bytes")" 1
done
check "one that may be repeated is" "$(cut_head 60 look 1 l1) $(body l1)" \
    "200 7"
check "and has run twice" "$(run_count l1)" 2
check "a stream that may be repeated is" \
    "$(cut_head 60 stream 2 /gen/1 s1) $(event_count s1)" "200 8"
check "one that must not be repeated fails" \
    "$(cut_head 60 stream 0 /once/1 s2) $(body s2) $(run_count s2)" "502 0 1"
cut_host 0 2
check "a request is passed on to another host" \
    "$(until_status 200 20 book 0 p1)" 200
check "cut there: one that must not be repeated fails" \
    "$(cut_head 60 book 0 p2) $(body p2) $(run_count p2)" "502 0 1"
check "one that may be repeated is" \
    "$(cut_head 60 look 0 p3) $(body p3)" "200 7"
[ "$failures" -eq 0 ] || tail -n 30 "$DIR"/edge*.log
[ "$failures" -eq 0 ]
