#!/bin/sh
# Checks hosts on the users' platform, as processes, against its fake: no
# request that must not run twice is answered with 503, 429, 421 or 408 if a
# target ran it, whatever the target said, and none is sent again. The fake
# counts the runs. A host that reaches the targets answers, and one that passes
# its requests on.
set -u
BASE=${BASE:-20200}
DIR=$(mktemp -d)
: "${BIN:=build/skylarkspar-check}" "${FAKE:=build/skyfake}"
trap 'kill -KILL $PIDS 2>/dev/null; rm -rf "$DIR"' EXIT
. tests/proc_check.sh
. tests/edge_site.sh

# book HOST ID, look HOST ID: print the status, and how often it ran. Each
# request has its own body: hosts refuse one that seems to crash targets.
book() { echo "$(send_request "$1" /book/1 "$2" -X POST -d "order $2") $(run_count "$2")"; }
look() { echo "$(send_request "$1" /look/1 "$2") $(run_count "$2")"; }
# pass_on ID FIELD: sends a request to host 1 as another host does; prints the
# status, what the host says of it to the other, and how often it ran
pass_on() {
    passed_status=$(curl -sS -m 8 -o "$DIR/body.$1" -w '%{http_code}' \
        -D "$DIR/head.$1" -X POST -d "order $1" -H 'Host: a.example' \
        -H "X-Skylarkspar-Attempt-Id: $1" -H 'Sky-Hop-From: edge9' -H "$2" \
        "http://127.0.0.1:$((BASE + 141))/book/1")
    said=$(sed -n 's/\r$//; s/^Sky-Hop-\(Outcome\|Proof\): //p' "$DIR/head.$1" |
        tr '\n' ' ')
    echo "$passed_status $said$(run_count "$1")"
}
# has_field NAME ID: prints how often the response has the field
has_field() { grep -ci "^$1:" "$DIR/head.$2"; }

USE_LINKS=1
start_site 0 3
publish_config 7 ""
for n in 0 1 2; do
    check "host $n becomes ready" "$(until_status 200 50 readyz_status $n)" 200
done
for n in 0 1 2; do
    until_status 200 40 send_request $n /look/1 "first$n" >/dev/null
done
cut_host 0 2
check "a request is passed on" \
    "$(until_status 200 20 send_request 0 /book/1 passed -X POST -d x)" 200

for status in 408 421 429 503; do
    set_fault "{\"status_after_run\": $status}"
    for host in 0 1; do
        id="s$status-$host"
        check "host $host: $status after a run is no promise" \
            "$(book $host "$id")" "502 1"
        check "host $host: nor has the answer anything of the target's" \
            "$(has_field X-Skylarkspar-Server-Seal "$id") $(cat "$DIR/body.$id")" \
            "0 "
    done
done
for status in 400 404 409 500 504; do
    set_fault "{\"status_after_run\": $status}"
    for host in 0 1; do
        id="s$status-$host"
        check "host $host: $status promises nothing and is returned" \
            "$(book $host "$id") $(cat "$DIR/body.$id")" "$status 1 ran"
    done
done
for status in 408 429 503; do
    set_fault "{\"status_after_run\": $status}"
    check "what may be repeated: $status is returned" \
        "$(look 1 "l$status" | cut -d ' ' -f 1) $(cat "$DIR/body.l$status")" \
        "$status ran"
done
set_fault '{"status_after_run": 0}'

for host in 0 1; do
    set_fault '{"mark_after_run": 1}'
    check "host $host: a success with the mark of a refusal is not sent again" \
        "$(book $host "m$host")" "502 1"
    set_fault '{"refuse_without_id": 1}'
    check "host $host: a refusal without an id proves nothing" \
        "$(book $host "i$host")" "502 "
    set_fault '{"shed": 1}'
    check "host $host: after a refusal it runs at another target" \
        "$(book $host "r$host")" "200 1"
done
set_fault '{"mark_after_run": 1}'
check "what may be repeated is sent again after a marked success" \
    "$(look 1 m9)" "200 2"
set_fault '{"refuse_without_id": 1}'
check "and after a refusal without an id" "$(look 1 i9)" "200 1"
for host in 0 1; do
    set_fault '{"garble_after_mark": 1}'
    check "host $host: bytes garbled after a refusal's head prove nothing" \
        "$(book $host "g$host")" "502 1"
done
check "what another host may have had run is not sent" \
    "$(pass_on f1 'Sky-Hop-May-Have-Run: 1')" "503 not_run account "
check "nor is what it passes on with a list that cannot be read" \
    "$(pass_on f5 'Sky-Hop-May-Have-Run: zz')" "404 "
check "what it says has not run is sent" "$(pass_on f2 'Accept: a/b')" \
    "200 target 1"
set_fault '{"status_after_run": 503}'
check "what ran is unknown to the other host" "$(pass_on f3 'Accept: a/b')" \
    "502 unknown 1"
set_fault '{"status_after_run": 0, "shed": 90}'
check "a refusal is told with its proof" "$(pass_on f4 'Accept: a/b')" \
    "503 not_run account "
for host in 0 1; do
    set_fault '{"shed": 90}'
    check "host $host: if all refuse it, that is what its caller is told" \
        "$(book $host "p$host")" "503 "
    check "host $host: and when to come back" \
        "$(has_field Retry-After "p$host")" 1
    set_fault '{"shed": 0}'
done
check "no invariant is broken" "$(cat "$DIR"/edge*.log | grep -c invariant)" 0
[ "$failures" -eq 0 ] || tail -n 30 "$DIR"/edge*.log
[ "$failures" -eq 0 ]
