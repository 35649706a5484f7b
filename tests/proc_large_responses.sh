#!/bin/sh
# Guards against a target's response that reaches the caller cut short and looks
# complete: errors of more bytes than a host holds back were. Compares each body
# byte by byte, for sizes around the bound, all classes of statuses, each
# framing, early ends, and responses that come by way of another host. Two hosts,
# two targets without engines.
set -u
BASE=${BASE:-23700}
DIR=$(mktemp -d)
: "${BIN:=build/skylarkspar-check}" "${FAKE:=build/skyfake}"
trap 'kill -KILL $PIDS 2>/dev/null; rm -rf "$DIR"' EXIT
. tests/proc_check.sh
. tests/edge_site.sh

BOUND_KB=256
MEMORY_MAX_KB=$((160 * 1024)) # memoryMb in the settings of the tests
for letter in a b; do
    head -c $((2000 * 1024)) /dev/zero | tr '\0' $letter >"$DIR/whole.$letter"
done
request_count=0
# fetch HOST PATH CURL_OPTION...: sends a request, and sets `result` to "whole",
# "cut" if its caller sees that, "own" for a response without the target's seal,
# else to what is wrong with it
fetch() {
    host=$1 path=$2
    shift 2
    request_count=$((request_count + 1))
    status=$(curl -sS -m 6 -o "$DIR/body" -D "$DIR/head" -w '%{http_code}' \
        -H 'Host: a.example' -H "X-Skylarkspar-Attempt-Id: l$request_count" \
        -H 'X-Skylarkspar-Deadline-Ms: 5000' "$@" \
        "http://$(front_address "$host")$path" 2>/dev/null)
    code=$?
    size=$(wc -c <"$DIR/body")
    letter=$(head -c 1 "$DIR/body")
    if [ $code -ne 0 ]; then
        result=cut
    elif ! grep -qi '^X-Skylarkspar-Server-Seal:' "$DIR/head"; then
        result=own
        [ "$size" -eq 0 ] || result="own $status with $size bytes"
    elif [ "$status" != "$wanted_status" ]; then
        result="seal with status $status"
    elif head -c $((size_kb * 1024)) "$DIR/whole.$letter" |
        cmp -s - "$DIR/body"; then
        result=whole
    else
        result="$size bytes look complete"
    fi
}
# fetch_all NAME WANTED HOST PATH CURL_OPTION...: requests each size; checks that
# the results are among those wanted, a list of words
fetch_all() {
    what=$1 wanted=" $2 "
    shift 2
    odd=""
    for size_kb in 1 $((BOUND_KB - 1)) $BOUND_KB $((BOUND_KB + 1)) 1500; do
        set_fault "{\"large_kb\": $size_kb, \"large_status\": $wanted_status}"
        fetch "$@"
        case $wanted in
        *" $result "*) ;;
        *) odd="$odd $size_kb KiB: $result;" ;;
        esac
    done
    check "$what" "$odd" ""
}
set_framing() { # length, chunks or close
    chunked=0 until_close=0
    [ "$1" = chunks ] && chunked=1
    [ "$1" = close ] && until_close=1
    set_fault "{\"large_chunked\": $chunked, \"large_until_close\": $until_close}"
}

USE_LINKS=1
start_site 1 2 2
publish_config 7 ""
for n in 0 1; do
    check "host $n becomes ready" "$(until_status 200 50 readyz_status $n)" 200
done
check "a request is served" \
    "$(until_status 200 40 send_request 0 /look/1 first)" 200

for framing in length chunks close; do
    set_framing $framing
    # Without a length or chunks a large error may have no end.
    error=whole
    [ $framing = close ] && error="whole own"
    for wanted_status in 200 206 302 400 404 418 451 500 501 502 504 599; do
        expected=$error
        [ $wanted_status -lt 400 ] && expected=whole
        fetch_all "$framing, $wanted_status: whole" "$expected" 0 /look/1
        fetch_all "$framing, $wanted_status, not repeatable: whole" \
            "$expected" 1 /book/1 -X POST -d booking
    done
    # These promise that the request was not run, which is not proved.
    for wanted_status in 408 429 503; do
        fetch_all "$framing, $wanted_status, not repeatable: no promise" \
            own 0 /book/1 -X POST -d booking
    done
done

set_framing length
cut_host 0 2
sleep 1
for wanted_status in 200 404 500; do
    fetch_all "$wanted_status by way of another host: whole" whole 0 /book/1 \
        -X POST -d booking
done
cut_host 0 0
sleep 1

for framing in length chunks; do
    set_framing $framing
    for wanted_status in 404 500; do
        odd=""
        for size_kb in $BOUND_KB 1500; do
            set_fault "{\"large_kb\": $size_kb, \"large_status\": $wanted_status}"
            set_fault '{"cut_large": 1}'
            fetch 1 /book/1 -X POST -d booking
            case $result in
            cut | own) ;;
            *) odd="$odd $size_kb KiB: $result;" ;;
            esac
            sleep 2 # the target is back
        done
        check "$framing, $wanted_status: an early end is not taken for one" \
            "$odd" ""
    done
done

# Many large errors to callers that read slowly take no more memory.
set_framing length
set_fault '{"large_kb": 1500, "large_status": 500}'
for i in $(seq 100); do
    send_request $((i % 2)) /book/1 "slow$i" --limit-rate 20k -X POST -d x \
        >/dev/null &
    PIDS="$PIDS $!"
done
sleep 4
for n in 0 1; do
    eval "pid=\$EDGE$n"
    peak=$(sed -n 's/^VmHWM:[^0-9]*\([0-9]*\).*/\1/p' "/proc/$pid/status")
    check "host $n keeps to its memory" \
        "$([ "${peak:-999999999}" -le $MEMORY_MAX_KB ] && echo within ||
            echo "$peak kB")" within
done
[ "$failures" -eq 0 ] || tail -n 30 "$DIR"/edge*.log
[ "$failures" -eq 0 ]
