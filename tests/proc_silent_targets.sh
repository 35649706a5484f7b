#!/bin/sh
# Checks hosts on the users' platform, as processes, against its fake: sound
# targets that fall silent for a second and go on. What was sent to them is not
# held against the requests, which are repeated once each at most on average.
set -u
BASE=${BASE:-24800}
DIR=$(mktemp -d)
: "${BIN:=build/skylarkspar-check}" "${FAKE:=build/skyfake}"
trap 'kill -KILL $PIDS 2>/dev/null; rm -rf "$DIR"' EXIT
. tests/proc_check.sh
. tests/edge_site.sh

# alike HOST ID: sends the same sound request each time; prints the status
alike() { send_request "$1" /look/alike "$2" -X POST -d alike; }
# silence MS NAME: all targets fall silent while each host has such requests
silence() {
    set_fault "{\"silent_app_ms\": $1}"
    for i in 1 2 3 4; do
        for n in 0 1 2; do alike $n "$2.$n.$i" >/dev/null & done
        sleep 0.1
    done
    sleep 3
}

start_site 3 3
publish_config 7 ""
for n in 0 1 2; do
    check "host $n becomes ready" "$(until_status 200 50 readyz_status $n)" 200
done
for ms in 800 1200 1800; do
    silence $ms "s$ms"
    for n in 0 1 2; do
        check "after $ms ms of silence a sound request is served by host $n" \
            "$(alike $n "a$ms.$n")" 200
    done
    repeats=$(state_map runs |
        grep -oE "\"s$ms\.[0-9.]*\":[0-9]+" | awk -F: '{n += $2 - 1} END {print n + 0}')
    check "after $ms ms of silence 12 requests were repeated 12 times at most" \
        "$([ "$repeats" -le 12 ] && echo within || echo "$repeats")" within
done
[ "$failures" -eq 0 ] || tail -n 30 "$DIR"/edge*.log
[ "$failures" -eq 0 ]
