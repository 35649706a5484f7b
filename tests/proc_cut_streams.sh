#!/bin/sh
# Checks hosts on the users' platform, as processes, against its fake: streams that
# are under way when their host's connections to engines begin to hang go on by way
# of another host, and not until their deadline. ADAPTERS, 1 by default, is the
# number of adapters of the streams, which engines share: with several, requests
# with the same body are silent at several engines at once. Which engine an adapter
# prefers depends on when the engines started: adapters are added until two are at
# different ones.
set -u
BASE=${BASE:-27400}
DIR=$(mktemp -d)
: "${BIN:=build/skylarkspar-check}" "${FAKE:=build/skyfake}"
trap 'kill -KILL $PIDS 2>/dev/null; rm -rf "$DIR"' EXIT
. tests/proc_check.sh
. tests/edge_site.sh

# nth N WORD...: prints the Nth word
nth() {
    shift "$1"
    echo "$1"
}
# engine_of ADAPTER: prints the engine that served its first request at host 0
engine_of() {
    sed -n "s/.*event=request_end id=first0$1 .* target=\([^ ]*\) .*status=200.*/\1/p" \
        "$DIR/edge0.log" | tail -n 1
}
# choose_adapters COUNT: has so many adapters loaded, or more, until two of them are
# at different engines; the names of COUNT of them are in `adapters`
choose_adapters() {
    adapters="" engines=""
    for a in $(seq 9); do
        for n in 0 1 2; do
            until_status 200 40 send_generation $n /gen/1 "a$a" "first${n}a$a" \
                >/dev/null
        done
        engines="$engines $(engine_of "a$a")"
        if [ "$a" -lt "$1" ]; then
            adapters="$adapters a$a"
            continue
        fi
        # shellcheck disable=SC2086  # a list
        [ "$1" -eq 1 ] || [ "$(printf '%s\n' $engines | sort -u | wc -l)" -ge 2 ] &&
            break
    done
    adapters="$adapters a$a"
}

# play_streams NAME SECONDS HOST...: starts six streams of 2.4 s at host 0, cuts
# the hosts off after 0.7 s, for SECONDS, and waits for all streams; the time from
# the cut to the last end is in took_ms, the status of each in out.NAME.N
play_streams() {
    name=$1 cut_s=$2
    shift 2
    pids=""
    for i in 1 2 3 4 5 6; do
        # shellcheck disable=SC2086  # a list
        send_generation 0 /gen/1 "$(nth $((i % ${ADAPTERS:-1} + 1)) $adapters)" \
            "$name$i" >"$DIR/out.$name.$i" &
        pids="$pids $!"
    done
    sleep 0.7
    began_ms=$(date +%s%3N)
    for n in "$@"; do cut_host "$n" 1; done
    (
        sleep "$cut_s"
        for n in "$@"; do cut_host "$n" 0; done
    ) &
    heal_pid=$!
    wait $pids
    took_ms=$(($(date +%s%3N) - began_ms))
    wait $heal_pid
}
# whole_streams NAME: prints how many have exactly the events 1 to 8
whole_streams() {
    for i in 1 2 3 4 5 6; do
        [ "$(cat "$DIR/out.$1.$i")" = 200 ] &&
            grep '^id: ' "$DIR/body.$1$i" | tr -d '\n'
        echo
    done | grep -c '^id: 1id: 2id: 3id: 4id: 5id: 6id: 7id: 8$'
}

USE_LINKS=1
start_site 3 3
publish_config 7 ""
for n in 0 1 2; do
    check "host $n becomes ready" "$(until_status 200 50 readyz_status $n)" 200
done
choose_adapters "${ADAPTERS:-1}"
set_fault '{"event_ms": 300}'
play_streams hung 6 0
hung_cut_ms=$began_ms
check "streams that hang go on by way of another host" "$(whole_streams hung)" 6
check "they do not wait for their deadline of 5 s" \
    "$([ $took_ms -le 4000 ] && echo in time || echo "$took_ms ms")" "in time"
if [ "${ADAPTERS:-1}" -gt 1 ]; then
    check "they hung at several engines" \
        "$([ "$(sed -n 's/.* id=hung.* target=\(.*\) how=silent .*/\1/p' \
            "$DIR/edge0.log" | sort -u | wc -l)" -ge 2 ] && echo yes)" yes
fi
sleep 4
# A silence of the targets looks the same to each host.
play_streams silent 1 0 1 2
check "streams of targets that are silent for 1 s go on" \
    "$(whole_streams silent)" 6
check "they are not run a second time" \
    "$(state_map runs | grep -c '"silent[1-6]": *1$')" 6
if [ "$failures" -gt 0 ]; then
    tail -n 30 "$DIR"/edge*.log
    # The request_end of the second host has the time since the stream came to it.
    echo "host 0 cut off at_ms=$hung_cut_ms; what each host did with the streams:"
    grep -h ' id=hung' "$DIR"/edge*.log | sort -k 2,2
fi
[ "$failures" -eq 0 ]
