#!/bin/sh
# Checks a host that stops in calm, as a process, against the fake of the users'
# platform: short and long requests of each kind, asked for at each tenth of its
# time, are served, or refused as not run; none is cut.
set -u
BASE=${BASE:-30000}
DIR=$(mktemp -d)
: "${BIN:=build/skylarkspar-check}" "${FAKE:=build/skyfake}"
trap 'kill -KILL $PIDS 2>/dev/null; rm -rf "$DIR"' EXIT
. tests/proc_check.sh
. tests/edge_site.sh
EXIT_MS=7600 # from SIGTERM

# stop_host PID: sets stopped_ms
stop_host() {
    kill -TERM "$1"
    stopped_ms=$(date +%s%3N)
}
# wait_until MS: after stopped_ms
wait_until() {
    wait_ms=$((stopped_ms + $1 - $(date +%s%3N)))
    [ $wait_ms -gt 0 ] &&
        sleep "$((wait_ms / 1000)).$(printf %03d $((wait_ms % 1000)))"
}
# ask HOST ROUTE short|long ID [DEADLINE_MS]: writes the status, and curl's exit
# code
ask() {
    status=$(curl -sS -m 14 -o "$DIR/body.$4" -D "$DIR/head.$4" \
        -w '%{http_code}' -X POST -d "prompt $4" -H 'Host: a.example' \
        -H "X-Skylarkspar-Attempt-Id: $4" -H 'X-Skylarkspar-Model: m1' \
        -H "X-Skylarkspar-Deadline-Ms: ${5:-5000}" \
        "http://$(front_address "$1")/$2/$3" 2>/dev/null)
    echo "$status $?" >"$DIR/status.$4"
}
# outcome ID: prints "whole", "refused" (not run), "answered" (it may have run,
# and the caller is told so), or what else the caller got
outcome() {
    read -r status code <"$DIR/status.$1"
    case "$status $code $(event_count "$1") $(cat "$DIR/body.$1" 2>/dev/null)" in
    "200 0 8 "* | "200 0 0 service") echo whole ;;
    "503 0 "*)
        if [ -n "$(run_count "$1")" ]; then
            echo "503 though it ran"
        elif grep -qi '^Retry-After: [0-9]' "$DIR/head.$1"; then
            echo refused
        else
            echo "503 without Retry-After"
        fi
        ;;
    "502 0 "*) echo answered ;;
    *) echo "cut: status $status, curl $code, $(event_count "$1") events" ;;
    esac
}
list_outcomes() { # ROUTE short|long
    for tenth in 0 1 2 3 4 5 6 7 8 9; do
        echo "tenth $tenth: $(outcome "$1$tenth.$2")"
    done
}
# make_routes: prints routes of each kind for each tenth, so that no response at
# one tenth tells of those at a later one
make_routes() {
    for tenth in 0 1 2 3 4 5 6 7 8 9; do
        cat <<END
,{"name":"gen$tenth","host":"a.example","pathPrefix":"/gen$tenth/",
 "routeKind":"streaming","timeoutMs":5000,"aimMs":800,"service":"llm",
 "maxAttempts":3,"resumable":true},
{"name":"once$tenth","host":"a.example","pathPrefix":"/once$tenth/",
 "routeKind":"streaming","timeoutMs":5000,"service":"llm","maxAttempts":1,
 "resumable":false},
{"name":"book$tenth","host":"a.example","pathPrefix":"/book$tenth/",
 "routeKind":"non_idempotent","timeoutMs":1500,"service":"app",
 "maxAttempts":1},
{"name":"look$tenth","host":"a.example","pathPrefix":"/look$tenth/",
 "routeKind":"idempotent","timeoutMs":1500,"service":"app","maxAttempts":2}
END
    done
    cat <<END
,{"name":"slow","host":"a.example","pathPrefix":"/slow/",
 "routeKind":"streaming","timeoutMs":12000,"aimMs":800,"service":"llm",
 "maxAttempts":3,"resumable":true}
END
}

start_site 1 1
publish_config 7 "$(make_routes)"
for n in 0 1 2; do
    check "host $n becomes ready" "$(until_status 200 50 readyz_status $n)" 200
done
# The long ones last longer than all that their routes have had, and less than
# their timeouts.
set_fault '{"app_run_ms": 20, "long_app_ms": 1300, "long_event_ms": 560}'
for tenth in 0 1 2 3 4 5 6 7 8 9; do
    for route in look book gen once; do
        ask 1 "$route$tenth" short "$route$tenth.before"
    done
done
ask 2 slow short slow.before 12000
check "a short stream of slow before the stop" "$(outcome slow.before)" whole
for route in look book gen once; do
    check "short requests of $route before the stop" \
        "$(list_outcomes $route before | grep -c whole)" 10
done
sleep 5.2 # the longest timeout: all responses that began before have ended

stop_host "$EDGE1"
request_pids=""
for tenth in 0 1 2 3 4 5 6 7 8 9; do
    wait_until $((EXIT_MS * tenth / 10))
    for route in look book gen once; do
        for length in short long; do
            ask 1 "$route$tenth" $length "$route$tenth.$length" &
            request_pids="$request_pids $!"
        done
    done
done
wait "$EDGE1"
check "the host exits with code" "$?" 0
took_ms=$(($(date +%s%3N) - stopped_ms))
check "within its time" \
    "$([ $took_ms -lt 8000 ] && echo yes || echo "$took_ms ms")" yes
wait $request_pids
# Guards against requests that a stopping host takes, as those before were
# short, and cuts at its exit.
for route in look book gen once; do
    for length in short long; do
        check "$length requests of $route: cut, or misreported" \
            "$(list_outcomes $route $length | grep -v -e ': whole' -e ': refused' -e ': answered')" ""
    done
done
for route in book gen once; do
    check "long requests of $route that the exit ends" \
        "$(list_outcomes $route long | grep ': answered')" ""
done
for route in look book; do # their timeout ends before the exit
    check "short requests of $route are served as long as their timeout is" \
        "$(list_outcomes $route short | head -n 8 | grep -c whole)" 8
done
check "short requests that may run again are served later, too" \
    "$(list_outcomes look short | sed -n 9p)" "tenth 8: whole"
for route in gen once; do
    check "short streams of $route are served as long as their timeout is" \
        "$(list_outcomes $route short | head -n 4 | grep -c whole)" 4
done
check "none that may not be repeated has run twice" \
    "$(state_map runs | grep -E '"(book|once)' | grep -cE ': *[2-9]')" 0
# Guards against a stream that is taken, waits for room, and is sent so late
# that the exit cuts it.
fill_pids=""
# More than the engine has room for, for 4.5 s: the host may pass some on to
# others, which it does not count, and refuses those that find no room.
for i in $(seq 1 24); do
    ask 2 slow long "fill.$i" 12000 &
    fill_pids="$fill_pids $!"
    sleep 0.05
    [ "$i" -eq 10 ] && stop_host "$EDGE2"
done
wait_until 2700
ask 2 slow long waiting 12000
check "a stream that waits for room too long goes back" "$(outcome waiting)" \
    refused
wait $fill_pids
list_fills() { for i in $(seq 1 24); do echo "$i: $(outcome "fill.$i")"; done; }
check "streams under way are finished" \
    "$(list_fills | grep -v -e ': whole' -e ': refused')" ""
check "at least as many as the engine has room for" \
    "$([ "$(list_fills | grep -c ': whole')" -ge 20 ] && echo yes || list_fills)" \
    yes
wait "$EDGE2"
check "the second host exits with code" "$?" 0
[ "$failures" -eq 0 ] || tail -n 60 "$DIR"/edge[12].log
[ "$failures" -eq 0 ]
