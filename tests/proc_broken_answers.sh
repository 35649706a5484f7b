#!/bin/sh
# Guards against a target's broken answer that reaches a caller as a whole one.
# A stand-in answers with bytes that the test writes (tests/fakes/raw_target.c).
# Host 0 reaches it; host 1 reaches no target, and passes its requests on.
# A reset during an upload is met by a send before it is read each time: the
# host is stopped while the target answers and resets the connection.
set -u
BASE=${BASE:-20400}
DIR=$(mktemp -d)
: "${BIN:=build/skylarkspar-check}" "${FAKE:=build/skyfake}"
trap 'kill -KILL $PIDS 2>/dev/null; rm -rf "$DIR"' EXIT
. tests/proc_check.sh
. tests/edge_site.sh

ANSWERS="$DIR/answers"
UPLOAD_BYTES=6000000
OWN='X-Skylarkspar-Attempt-Id: @ID@\r\nX-Skylarkspar-Server-Seal: r1\r\n'
mkdir "$ANSWERS"
head -c $UPLOAD_BYTES /dev/zero | tr '\0' u >"$DIR/upload"

# answer NAME BEHAVIOUR FORMAT: what the target does when NAME is asked for, see
# raw_target.c; FORMAT is printf's
answer() {
    {
        echo "$2"
        # shellcheck disable=SC2059
        printf "$3"
    } >"$ANSWERS/$1"
}
# wait_for FILE: until it exists, 5 s at most
wait_for() {
    tries=500
    while [ ! -e "$1" ] && [ "$tries" -gt 0 ]; do
        sleep 0.01
        tries=$((tries - 1))
    done
}
# outcome_of ID STATUS CODE: what a caller got: "whole TEXT" for an answer with
# the target's seal, "cut" if the caller sees that it isn't whole, else the
# status of the host's own
outcome_of() {
    if [ "$3" -ne 0 ]; then
        echo cut
    elif grep -qi '^X-Skylarkspar-Server-Seal:' "$DIR/head.$1"; then
        echo "whole $2 $(cat "$DIR/body.$1")"
    else
        echo "own $2$(cat "$DIR/body.$1")"
    fi
}
# fetch HOST ROUTE NAME [CURL_OPTION...]: prints the outcome
fetch() {
    route=$2 name=$3 id="$3-$1-$2"
    status=$(send_request "$1" "/$2/$3" "$id" -X POST -d "order $id")
    code=$?
    outcome_of "$id" "$status" $code
}
# fetch_reset HOST ROUTE NAME: uploads while the target holds its answer, stops
# host 0, lets the target answer and reset the connection, and lets the host go
# on; prints the outcome
fetch_reset() {
    id="$3-$1-$2"
    rm -f "$ANSWERS/$3".*
    {
        status=$(send_request "$1" "/$2/$3" "$id" -X POST \
            --data-binary "@$DIR/upload" -H 'Expect:')
        outcome_of "$id" "$status" $?
    } >"$DIR/outcome" &
    fetch_pid=$!
    wait_for "$ANSWERS/$3.arrived"
    kill -STOP "$EDGE0"
    touch "$ANSWERS/$3.go"
    wait_for "$ANSWERS/$3.done"
    kill -CONT "$EDGE0"
    wait $fetch_pid
    cat "$DIR/outcome"
}

start_site 0 0 1
write_edge_settings 1 1
# Nothing listens at this address: host 1 reaches no target.
SKY_TEST_LINKS="127.0.0.99 $((BASE + 20)) $((BASE + 49))" \
    "$BIN" edge "$DIR/edge1.toml" >"$DIR/edge1.log" 2>&1 &
PIDS="$PIDS $!"
"$FAKE" raw "127.0.0.1:$((BASE + 40))" "$ANSWERS" >"$DIR/raw.log" 2>&1 &
PIDS="$PIDS $!"
printf '{"service":"app","addr":"127.0.0.1:%s","zone":"z1","version":"v1",
    "slots":32,"state":"ready","coldLeftMs":0,"seq":0,"born":1000}' $((BASE + 40)) |
    curl -fsS -m 5 --data-binary @- "$control_url/entry?key=i-raw0" >/dev/null
publish_config 7 "" 8000000
for n in 0 1; do
    check "host $n becomes ready" "$(until_status 200 50 readyz_status $n)" 200
done
answer first "whole keep" "HTTP/1.1 200 OK\r\n${OWN}Content-Length: 2\r\n\r\nok"
for n in 0 1; do
    check "host $n serves" \
        "$(until_status 200 40 send_request $n /look/first "first$n")" 200
done

# -- resets while an upload is being written --

answer part "start reset held" "HTTP/1.1 200 OK\r\n${OWN}\r\npart of it"
answer bare "start reset held" "HTTP/1.1 200 OK\r\n${OWN}\r\n"
answer error "start reset held" "HTTP/1.1 500 No\r\n${OWN}\r\npart of it"
answer framed "start reset held" \
    "HTTP/1.1 200 OK\r\n${OWN}Content-Length: 5\r\n\r\nwhole"
answer cut "start reset held" \
    "HTTP/1.1 200 OK\r\n${OWN}Content-Length: 5\r\n\r\nwhol"
for route in look book; do
    for name in part bare error cut; do
        check "/$route/, a reset, $name: no whole answer" \
            "$(fetch_reset 0 $route $name)" "own 502"
    done
    check "/$route/, a reset behind a whole framed answer: it is whole" \
        "$(fetch_reset 0 $route framed)" "whole 200 whole"
done

answer ended "start linger held" "HTTP/1.1 200 OK\r\n${OWN}\r\nwhole"
for route in look book; do
    check "/$route/, the stream ends in an upload: the answer is whole" \
        "$(fetch_reset 0 $route ended)" "whole 200 whole"
done
# -- heads that are no HTTP/1.1, on both routes, also by way of host 1 --

# An earlier request of the same fingerprint may count against a later one.
broken_count=0
# broken WHAT FORMAT: an answer that no caller may get
broken() {
    broken_count=$((broken_count + 1))
    answer "broken$broken_count" "whole keep" "$2"
    for route in look book; do
        for host in 0 1; do
            check "$1: no answer to /$route/ by host $host" \
                "$(fetch $host $route "broken$broken_count")" "own 502"
            check "a sound request beside it, host $host" \
                "$(fetch $host look "beside$broken_count")" "whole 200 ok"
        done
    done
}
# sound WHAT WANTED FORMAT: an answer that goes on as before
sound_count=0
sound() {
    sound_count=$((sound_count + 1))
    answer "sound$sound_count" "whole close" "$3"
    for route in look book; do
        for host in 0 1; do
            check "$1: /$route/ by host $host" \
                "$(fetch $host $route "sound$sound_count")" "whole $2"
        done
    done
}
for i in $(seq 40); do
    cp "$ANSWERS/first" "$ANSWERS/beside$i"
done
REST="${OWN}Content-Length: 2\r\n\r\nok"
SOUND="HTTP/1.1 200 OK\r\n$REST"

for status in 000 0 20 099; do
    broken "status $status without a body, then a sound answer" \
        "HTTP/1.1 $status X\r\nContent-Length: 0\r\n\r\n$SOUND"
    broken "status $status" "HTTP/1.1 $status X\r\n$REST"
done
for status in 600 999 0200; do
    broken "status $status" "HTTP/1.1 $status X\r\n$REST"
done
for status in 100 102 103; do
    sound "an interim answer, $status" "200 ok" \
        "HTTP/1.1 $status X\r\n\r\n$SOUND"
done
sound "status 599" "599 ok" "HTTP/1.1 599 X\r\n$REST"
for version in HTTP/2.0 HTTP/9.3 HTTQ/1.1; do
    broken "version $version" "$version 200 OK\r\n$REST"
done
sound "version HTTP/1.0" "200 ok" "HTTP/1.0 200 OK\r\n$REST"
broken "a folded line" "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n$REST"
broken "a fold before all fields" "HTTP/1.1 200 OK\r\n c\r\n$REST"
for name in 'A B' 'A ' 'A\t' '' 'A\001' 'A\177' 'A\000' 'A\200' 'A(' 'A/'; do
    broken "field name '$name'" "HTTP/1.1 200 OK\r\n$name: b\r\n$REST"
done
broken "a line without a colon" "HTTP/1.1 200 OK\r\nName\r\n$REST"
broken "a control byte in a value" "HTTP/1.1 200 OK\r\nA: \001\r\n$REST"
broken "CR alone" "HTTP/1.1 200 OK\rXA: b\r\n$REST"
CHUNKED="HTTP/1.1 200 OK\r\n${OWN}Transfer-Encoding: chunked\r\n\r\n2\r\nok"
broken "a trailer with a blank in its name" "$CHUNKED\r\n0\r\nA B: c\r\n\r\n"
broken "a folded trailer" "$CHUNKED\r\n0\r\nA: b\r\n c\r\n\r\n"
sound "blanks around a value, and an empty one" "200 ok" \
    "HTTP/1.1 200 OK\r\nA: \t b \t\r\nB:\r\n$REST"
sound "a trailer" "200 ok" "$CHUNKED\r\n0\r\nA: b\r\n\r\n"
sound "no length" "200 ok" "HTTP/1.1 200 OK\r\n${OWN}\r\nok"
broken "a chunk longer than its size" "${CHUNKED}XX0\r\n\r\n"
broken "a coding that is not undone" "HTTP/1.1 200 OK\r\n${OWN}Transfer-Encoding: \
gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
broken "status 101, then a sound answer" "HTTP/1.1 101 X\r\n\r\n$SOUND"
[ "$failures" -eq 0 ] || tail -n 30 "$DIR"/edge*.log
[ "$failures" -eq 0 ]
