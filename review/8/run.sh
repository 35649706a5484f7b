#!/bin/sh
# Case 8: a page that all consumers read, on a route that was added later, is
# refused by all hosts once workers have crashed one after the other, for
# whatever reason. Run from anywhere, after the build of the deploy file and
# review/build-2.sh. TROUBLE=0: the same without the crashes.
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
CASE=review/8
: "${TROUBLE:=1}"
PROGRAM=target/skylarkspar
SITE=target/skyfake
STAND_IN=target/review_8_board
DIR=$(mktemp -d) || exit 2
PIDS=""
finish() {
    : >"$DIR/end"
    # shellcheck disable=SC2046,SC2086  # lists
    kill -KILL $PIDS $(cat "$DIR"/worker*.pid 2>/dev/null) 2>/dev/null
    wait 2>/dev/null
    rm -rf "$DIR"
}
trap finish EXIT
trap 'exit 2' INT TERM
for file in "$PROGRAM" "$SITE" "$STAND_IN"; do
    [ -x "$file" ] || {
        echo "not built: $file" >&2
        exit 2
    }
done

# The store takes BASE to BASE + 7 and BASE + 50, workers BASE + 60 to 63,
# hosts BASE + 100 to 143.
BASE=""
for turn in 0 1 2 3 4 5 6 7 8 9; do
    base=$((11000 + ($$ + turn * 7) % 40 * 200))
    if "$STAND_IN" free $base $((base + 1)) $((base + 2)) $((base + 7)) \
        $((base + 50)) $((base + 60)) $((base + 61)) $((base + 62)) \
        $((base + 63)) $((base + 100)) $((base + 101)) $((base + 102)) \
        $((base + 120)) $((base + 121)) $((base + 122)) $((base + 140)) \
        $((base + 141)) $((base + 142)); then
        BASE=$base
        break
    fi
done
[ -n "$BASE" ] || exit 2

control() { "$STAND_IN" call $((BASE + 50)) "$@"; }
until_200() { # COMMAND...: repeats it until it prints 200
    for _ in $(seq 100); do
        [ "$("$@")" = 200 ] && return 0
        sleep 0.1
    done
    return 1
}
# Worker NUMBER writes its entry again and again while it runs.
start_worker() { # NUMBER
    "$STAND_IN" worker $((BASE + 60 + $1)) "i-$1" >>"$DIR/worker$1.log" 2>&1 &
    echo $! >"$DIR/worker$1.pid"
    PIDS="$PIDS $!"
    born=$(date +%s%3N)
    (while kill -0 "$2" 2>/dev/null && [ ! -e "$DIR/end" ] &&
        [ "$(cat "$DIR/worker$1.born")" = "$born" ]; do
        [ ! -e "$DIR/worker$1.down" ] &&
            control POST "/entry?key=i-$1" "{\"service\":\"app\",
                \"addr\":\"127.0.0.1:$((BASE + 60 + $1))\",\"zone\":\"z1\",
                \"slots\":6,\"state\":\"ready\",\"born\":$born}"
        sleep 1
    done) >/dev/null 2>&1 &
    echo "$born" >"$DIR/worker$1.born"
}
crash_worker() { # NUMBER: it ends at once, and starts again after 3 s
    echo "$(date +%s%3N) worker $1 crashes" >>"$DIR/events"
    : >"$DIR/worker$1.down"
    kill -TERM "$(cat "$DIR/worker$1.pid")"
    sleep 3
    kill -KILL "$(cat "$DIR/worker$1.pid")" 2>/dev/null
    rm "$DIR/worker$1.down"
    start_worker "$1" $$
    echo "$(date +%s%3N) worker $1 runs again" >>"$DIR/events"
}

"$SITE" site "$BASE" 8 0 4 0 >"$DIR/site.log" 2>&1 &
PIDS="$PIDS $!"
until_200 control GET /state "" || exit 2
for n in 0 1 2 3; do
    start_worker $n $$
done
write_settings() { # HOST
    cat <<END
nodeName = "edge$1"
role = "edge"
zone = "z1"
beatIntervalMs = 1200
seeds = ["127.0.0.1:$((BASE + 140))", "127.0.0.1:$((BASE + 141))"]
[listen]
front = "127.0.0.1:$((BASE + 100 + $1))"
ready = "127.0.0.1:$((BASE + 120 + $1))"
control = "127.0.0.1:$((BASE + 140 + $1))"
[limits]
memoryMb = 260
maxFds = 4100
[bounds]
drainMs = 2000
graceS = 8
configApplyMs = 2000
leaseMs = 3000
stableMs = 3000
retryBudgetRatio = 0.2
retryWindowS = 10
retrySlack = 56
fencingRequired = true
[platform]
addr = "127.0.0.1:$((BASE + $1))"
parts = 8
ttlMinMs = 1000
END
}
publish() { # VERSION EXTRA_ROUTES
    control POST '/op?key=config' "{\"version\":$1,\"routes\":[
        {\"name\":\"base\",\"host\":\"a.example\",\"pathPrefix\":\"/base/\",
         \"routeKind\":\"idempotent\",\"timeoutMs\":1500,\"aimMs\":300,
         \"service\":\"app\",\"maxAttempts\":2}$2],
        \"services\":[{\"name\":\"app\",\"healthPath\":\"/h\",
         \"maxConns\":110}],
        \"limits\":{\"maxHeaderBytes\":8192,\"maxBodyBytes\":100000,
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}" >/dev/null
}
for n in 0 1 2; do
    write_settings $n >"$DIR/edge$n.toml"
    SKYLARKSPAR_CONFIG="$DIR/edge$n.toml" "$PROGRAM" edge \
        >"$DIR/edge$n.log" 2>&1 &
    PIDS="$PIDS $!"
done
publish 7 ""
for n in 0 1 2; do
    until_200 "$STAND_IN" call $((BASE + 120 + n)) GET /readyz "" || exit 2
done
publish 9 ',{"name":"board","host":"a.example","pathPrefix":"/board/",
    "routeKind":"idempotent","timeoutMs":1500,"aimMs":300,"service":"app",
    "maxAttempts":2}'
sleep 4 # from here on the hosts are in touch (stableMs)

# 24 consumers for 48 s. Three workers crash, at 4, 12 and 20 s, and are back 3 s
# later; steady state begins 7 s after the last one is back.
fronts="$((BASE + 100)) $((BASE + 101)) $((BASE + 102))"
echo "$(date +%s%3N) consumers begin" >>"$DIR/events"
# shellcheck disable=SC2086  # a list
"$STAND_IN" load board /board/today 48 20 $fronts >"$DIR/board" &
board=$!
# shellcheck disable=SC2086  # a list
"$STAND_IN" load base /base/% 48 4 $fronts >"$DIR/base" &
base=$!
PIDS="$PIDS $board $base"
sleep 4
if [ "$TROUBLE" = 1 ]; then
    crash_worker 0
    sleep 5
    crash_worker 1
    sleep 5
    crash_worker 2
else
    sleep 19
fi
wait $board || exit 2
wait $base || exit 2

{
    echo "TROUBLE=$TROUBLE"
    cat "$DIR/events"
    cat "$DIR"/worker*.log
    cat "$DIR/board" "$DIR/base"
    echo "these are: route, second, sent, served, refused, other"
    cat "$DIR"/edge*.log | grep -o 'event=request_end.*route=board.*' |
        sed -n 's/.*\(status=[0-9]*\).*\(reason=[a-z_-]*\).*/\1 \2/p' |
        sort | uniq -c
} >$CASE/record.txt
judge() { # NAME FROM TO: prints requests sent and served in these seconds
    awk -v name="$1" -v from="$2" -v to="$3" '
        $1 == name && $2 >= from && $2 < to {sent += $3
        served += $4} END {print sent + 0, served + 0}' "$DIR/$1"
}
# shellcheck disable=SC2046  # two numbers each
set -- $(judge board 30 48) $(judge base 30 48) $(judge board 0 4)
echo "steady state: board sent $1 served $2, base sent $3 served $4;" \
    "before: board sent $5 served $6" | tee -a $CASE/record.txt
# The case could not run if little was served before, or on the first route.
awk -v s="$3" -v v="$4" -v bs="$5" -v bv="$6" \
    'BEGIN {exit !(s >= 20 && v >= 0.9 * s && bs >= 20 && bv >= 0.9 * bs)}' ||
    exit 2
awk -v bs="$1" -v bv="$2" -v s="$3" -v v="$4" \
    'BEGIN {exit !(bs >= 20 && bv / bs < 0.25 * v / s)}' && exit 1
exit 0
