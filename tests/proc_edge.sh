#!/bin/sh
# Hosts on the users' platform, as processes, against its stand-in: requests,
# streams, cold adapters, faults of targets and of the store, a planned stop.
set -u
BASE=${BASE:-21500}
DIR=$(mktemp -d)
PIDS=""
: "${BIN:=build/skylarkspar-check}" "${FAKE:=build/skyfake}"
trap 'kill -KILL $PIDS 2>/dev/null; rm -rf "$DIR"' EXIT
. tests/proc_check.sh

HOSTS=3
front() { echo "127.0.0.1:$((BASE + 100 + $1))"; }
ready() { echo "127.0.0.1:$((BASE + 120 + $1))"; }
tests_url="http://127.0.0.1:$((BASE + 50))"

write_edge_settings() { # host door
    cat >"$DIR/edge$1.toml" <<END
nodeName = "edge$1"
zone = "z1"
beatIntervalMs = 250
seeds = ["127.0.0.1:$((BASE + 140))", "127.0.0.1:$((BASE + 141))"]
a_field_of_tomorrow = [1, 2]
[listen]
front = "$(front "$1")"
ready = "$(ready "$1")"
control = "127.0.0.1:$((BASE + 140 + $1))"
[limits]
memoryMb = 160
maxFds = 1024
[bounds]
drainMs = 2000
graceS = 8
configApplyMs = 2000
leaseMs = 1000
stableMs = 1000
retryBudgetRatio = 0.2
retryWindowS = 10
retrySlack = 300
fencingRequired = true
[platform]
addr = "127.0.0.1:$((BASE + $2))"
parts = 8
ttlMinMs = 1000
END
}
start_edge() { # host
    "$BIN" edge "$DIR/edge$1.toml" >"$DIR/edge$1.log" 2>&1 &
    eval "EDGE$1=$!"
    PIDS="$PIDS $!"
}
put_config() { # version extra-routes
    curl -fsS -m 5 -d "{\"version\":$1,\"routes\":[
      {\"name\":\"gen\",\"host\":\"a.example\",\"pathPrefix\":\"/gen/\",
       \"routeKind\":\"streaming\",\"timeoutMs\":5000,\"aimMs\":800,
       \"service\":\"llm\",\"maxAttempts\":3,\"resumable\":true},
      {\"name\":\"once\",\"host\":\"a.example\",\"pathPrefix\":\"/once/\",
       \"routeKind\":\"streaming\",\"timeoutMs\":5000,\"service\":\"llm\",
       \"maxAttempts\":1,\"resumable\":false},
      {\"name\":\"book\",\"host\":\"a.example\",\"pathPrefix\":\"/book/\",
       \"routeKind\":\"non_idempotent\",\"timeoutMs\":1500,
       \"service\":\"app\",\"maxAttempts\":1},
      {\"name\":\"look\",\"host\":\"a.example\",\"pathPrefix\":\"/look/\",
       \"routeKind\":\"idempotent\",\"timeoutMs\":1500,\"service\":\"app\",
       \"maxAttempts\":2}$2],
      \"services\":[{\"name\":\"llm\",\"healthPath\":\"/h\",\"maxConns\":300,
       \"engine\":{\"slots\":16,\"kvCapacity\":200000,\"weightsMb\":66000,
       \"adapterSlots\":4,\"loadsPerS\":3,\"models\":[{\"name\":\"m1\",
       \"weightsMb\":65000,\"loadS\":1,\"adapters\":100,\"adapterMb\":12}]}},
       {\"name\":\"app\",\"healthPath\":\"/h\",\"maxConns\":100}],
      \"limits\":{\"maxHeaderBytes\":8192,\"maxBodyBytes\":100000,
       \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}" \
        "$tests_url/op?key=config" >/dev/null
}
# ask HOST PATH ID [curl options]: body and status as "STATUS BODY"
ask() {
    host=$1 path=$2 id=$3
    shift 3
    curl -sS -m 8 -o "$DIR/body.$id" -w '%{http_code}' \
        -H 'Host: a.example' -H "X-Skylarkspar-Attempt-Id: $id" \
        -H 'X-Skylarkspar-Deadline-Ms: 5000' -D "$DIR/head.$id" "$@" \
        "http://$(front "$host")$path" 2>/dev/null
}
# until STATUS TRIES command...: repeats until it prints the status
until_status() {
    wanted=$1 tries=$2
    shift 2
    while [ "$tries" -gt 0 ]; do
        status=$("$@")
        [ "$status" = "$wanted" ] && break
        sleep 0.2
        tries=$((tries - 1))
    done
    echo "$status"
}
readyz() { curl -sS -m 2 -o /dev/null -w '%{http_code}' "http://$(ready "$1")/readyz"; }
runs_of() { curl -fsS -m 5 "$tests_url/state" | sed -n "s/.*\"$1\":\([0-9]*\).*/\1/p"; }
state() { curl -fsS -m 5 "$tests_url/state" | field "$1"; }
set_fault() { curl -fsS -m 5 -d "$1" "$tests_url/fault" >/dev/null; }
events_in() { grep -c '^data: ' "$DIR/body.$1" 2>/dev/null; }
generate() { # host path adapter id
    ask "$1" "$2" "$4" -X POST -d prompt -H "X-Skylarkspar-Model: m1/$3" \
        -H 'X-Skylarkspar-Token-Count: 100,40'
}

"$FAKE" site "$BASE" 4 3 4 >"$DIR/site.log" 2>&1 &
PIDS="$PIDS $!"
sleep 0.3
for n in 0 1 2; do
    write_edge_settings $n $n
    start_edge $n
done
sleep 0.5
check "no configuration: not ready" "$(until_status 503 50 readyz 0)" 503
check "no configuration: 503, never 404" "$(until_status 503 50 ask 0 /look/1 early)" 503
put_config 7 ""
for n in 0 1 2; do
    check "host $n becomes ready" "$(until_status 200 50 readyz $n)" 200
done

check "a plain request" "$(ask 0 /look/1 p1)" 200
check "its body" "$(cat "$DIR/body.p1")" service
check "its seal" "$(grep -ci '^X-Skylarkspar-Server-Seal: s2' "$DIR/head.p1")" 1
check "a path without a route" "$(ask 1 /nothing/ p2)" 404
check "a request without an id" "$(curl -sS -m 5 -o /dev/null -w '%{http_code}' \
    -H 'Host: a.example' "http://$(front 0)/look/1")" 400
check "a body over the limit" "$(head -c 200000 /dev/zero |
    ask 0 /book/1 big -X POST --data-binary @-)" 413
check "bytes that are no HTTP" "$(printf '\026\003\001' |
    timeout 5 curl -sS -m 3 --no-buffer "telnet://$(front 0)" 2>/dev/null |
    head -c 12)" "HTTP/1.1 400"

check "a stream by a cold adapter" \
    "$(until_status 200 40 generate 0 /gen/1 a1 s1)" 200
check "all its events" "$(events_in s1)" 8
for n in 0 1 2; do
    for a in 1 2 3 4 5 6 7 8 9 10 11 12 13 14; do
        until_status 200 20 generate $n /gen/2 "a$a" "c$n.$a" >"$DIR/s.$n.$a" &
        WAIT="${WAIT:-} $!"
    done
done
wait $WAIT
check "42 streams by 14 adapters in 12 places" \
    "$(cat "$DIR"/s.* | grep -o 200 | wc -l)" 42
check "no target was told to hold too many" "$(state overfilled)" 0

set_fault '{"lose_orders": 2, "late_orders": 2}'
for a in 21 22 23 24 25 26; do
    check "adapter a$a in spite of lost and late orders" \
        "$(until_status 200 40 generate 1 /gen/3 "a$a" "l$a")" 200
done
sleep 1.2
check "late orders did not overfill" "$(state overfilled)" 0

set_fault '{"cut_streams": 1}'
check "a resumable stream that is cut" "$(generate 2 /gen/4 a1 r1)" 200
check "goes on at its next event" "$(events_in r1)" 8
check "without one twice" "$(sort "$DIR/body.r1" | uniq -d | grep -c id:)" 0
set_fault '{"cut_streams": 1}'
generate 2 /once/4 a1 r2 >/dev/null
case $? in # 18: fewer bytes than due, 56: the connection was reset
18 | 56) cut=yes ;;
*) cut=no ;;
esac
check "one that may not be resumed ends visibly cut" "$cut" yes
check "and ran once" "$(runs_of r2)" 1

# A begun stream that falls silent was taken away, and its caller got less.
set_fault '{"hang_streams": 1}'
took=$(curl -sS -m 8 -o "$DIR/body.h1" -w '%{time_total}' -X POST -d prompt \
    -H 'Host: a.example' -H 'X-Skylarkspar-Attempt-Id: h1' \
    -H 'X-Skylarkspar-Model: m1/a1' -H 'X-Skylarkspar-Deadline-Ms: 2500' \
    "http://$(front 2)/gen/4" 2>/dev/null)
check "silence does not end a stream sooner" \
    "$(echo "$took" | awk '{print ($1 >= 2.4) ? "at its deadline" : $1}')" \
    "at its deadline"
check "its events have come" "$(events_in h1)" 3

set_fault '{"lose": 1}'
check "a booking whose answer is lost" "$(ask 0 /book/1 b1 -X POST -d x)" 502
check "ran once" "$(runs_of b1)" 1
set_fault '{"lose": 1}'
check "a lookup whose answer is lost is repeated or fails" \
    "$(ask 0 /look/1 b2 | grep -c -E '200|502')" 1
set_fault '{"shed": 1}'
check "a booking that was refused" "$(ask 0 /book/1 b3 -X POST -d x)" 503
check "says when to come back" "$(grep -ci '^Retry-After:' "$DIR/head.b3")" 1
check "did not run" "$(runs_of b3)" ""
set_fault '{"fail": 1}'
check "a target's own failure is passed on" \
    "$(ask 0 /book/1 b4 -X POST -d x)" 500
check "with its body" "$(cat "$DIR/body.b4")" failed
set_fault '{"garble": 1}'
check "half an answer is none" "$(ask 0 /book/1 b5 -X POST -d x)" 502

put_config 9 ',{"name":"new","host":"a.example","pathPrefix":"/new/",
    "routeKind":"idempotent","timeoutMs":1500,"service":"app"}'
for n in 0 1 2; do
    check "host $n takes the change" \
        "$(until_status 200 50 ask $n /new/1 n$n)" 200
done
put_config 8 ""
sleep 0.5
check "an older configuration changes nothing" "$(ask 1 /new/2 o1)" 200

set_fault '{"store_down_1": 1}'
sleep 0.3
put_config 11 ',{"name":"newer","host":"a.example","pathPrefix":"/newer/",
    "routeKind":"idempotent","timeoutMs":1500,"service":"app"}'
check "a host that the store turns away learns from its peers" \
    "$(until_status 200 50 ask 1 /newer/1 d1)" 200
set_fault '{"store_down_3": 2}'
write_edge_settings 3 3
start_edge 3
check "a host that starts without the store becomes ready" \
    "$(until_status 200 60 readyz 3)" 200
check "and serves" "$(until_status 200 20 ask 3 /newer/1 d2)" 200
# Callers came back after 0.5 s, were refused again and gave up (2,082 of 2,628
# requests in the 2 s after a power loss, with the store away).
write_edge_settings 4 3
sed -i '/^seeds/d' "$DIR/edge4.toml"
start_edge 4
heard_of_outage() { grep -c 'event=store_lost topic=keyed.op' "$DIR/edge4.log"; }
until_status 1 50 heard_of_outage >/dev/null
check "a host that knows nothing refuses" "$(ask 4 /look/1 d6)" 503
after_s=$(tr -d '\r' <"$DIR/head.d6" | sed -n 's/^Retry-After: *//ip')
check "and lets callers come back after the outage, it hopes" \
    "$(echo "${after_s:-0} 1.5" | awk '{print ($1 >= $2)}')" 1
kill -KILL "$EDGE4"
set_fault '{"store_down_0": 1, "store_down_1": 1, "store_down_2": 1}'
sleep 1
check "without the store plain requests are served" "$(ask 2 /look/1 d3)" 200
check "and streams" "$(until_status 200 20 generate 0 /gen/5 a1 d4)" 200
# Hosts that stopped while the store was away left their targets without an
# owner until it was back (235 loads refused in 2 s, incident inc-9077).
lines3() { grep -c "$1" "$DIR/edge3.log"; }
until_status 1 50 lines3 'event=group_lost' >/dev/null
set_fault '{"store_down_3": 1}'
kill -TERM "$EDGE3"
until_status 1 50 lines3 'event=readiness ready=0' >/dev/null
check "a host that stops stays the owner while the store is away" \
    "$(lines3 'event=group_left')" 0
set_fault '{"store_down_0": 0, "store_down_1": 0, "store_down_2": 0, "store_down_3": 0}'
check "and leaves when the store is back" \
    "$(until_status 1 50 lines3 'event=group_left answer=done')" 1
sleep 2.5

curl -fsS -m 5 "$tests_url/crash?n=0" >/dev/null
check "after a crash of a target" \
    "$(until_status 200 40 generate 0 /gen/6 a1 k1)" 200
curl -fsS -m 5 "$tests_url/leave?n=1" >/dev/null
sleep 2
before=$(state after_leave)
for a in 1 2 3 4 5 6; do
    generate 0 /gen/7 "a$a" "v$a" >/dev/null
done
check "a leaving target gets nothing" "$(state after_leave)" "$before"

generate 1 /gen/8 a2 t1 >"$DIR/t1" &
stream=$!
sleep 0.05
kill -TERM "$EDGE1"
wait $stream
check "SIGTERM cuts off no stream" "$(cat "$DIR/t1") $(events_in t1)" "200 8"
check "the host is not ready any more" "$(readyz 1)" 503
check "but still answers" "$(ask 1 /look/1 t2)" 200
check "and closes" "$(grep -ci '^Connection: close' "$DIR/head.t2")" 1
wait "$EDGE1"
check "it ends by itself" "$?" 0
kill -KILL "$EDGE0"
check "after the loss of a host others load adapters" \
    "$(until_status 200 60 generate 2 /gen/9 a31 x1)" 200
check "nothing that must not be repeated ran twice" \
    "$(curl -fsS "$tests_url/state" | grep -oE '"(b[0-9]+|r2)":[2-9]' | wc -l)" 0
check "no target was ever overfilled" "$(state overfilled)" 0
[ "$failures" -eq 0 ] || tail -n 30 "$DIR"/edge*.log
[ "$failures" -eq 0 ]
