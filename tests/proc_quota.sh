#!/bin/sh
# Checks hosts, as processes, with a workspace that has a quota: requests
# beyond it get 429 with Retry-After at any of the hosts, those within it are
# served at any of them, also after the owner of the quota was killed.
set -u
BASE=${BASE:-30800}
DIR=$(mktemp -d)
: "${BIN:=build/skylarkspar-check}" "${FAKE:=build/skyfake}"
trap 'kill -KILL $PIDS 2>/dev/null; rm -rf "$DIR"' EXIT
. tests/proc_check.sh
. tests/edge_site.sh
control_url="http://127.0.0.1:$((BASE + 50))"

# publish_quota VERSION RATE BURST [KEY]: in requests; the workspace "free" has
# none
publish_quota() {
    curl -fsS -m 5 -d "{\"version\":$1,\"routes\":[
      {\"name\":\"look\",\"host\":\"a.example\",\"pathPrefix\":\"/look/\",
       \"routeKind\":\"idempotent\",\"timeoutMs\":4000,\"service\":\"app\",
       \"maxAttempts\":2}],
      \"services\":[{\"name\":\"app\",\"healthPath\":\"/h\",
       \"maxConns\":100}],
      \"tenants\":[{\"name\":\"small\",\"apiKeys\":[\"${4:-key-small}\"],
        \"priority\":1,\"ratePerS\":$2,\"burst\":$3},
       {\"name\":\"free\",\"apiKeys\":[\"key-free\"],\"priority\":2}],
      \"limits\":{\"maxHeaderBytes\":8192,\"maxBodyBytes\":100000,
       \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}" \
        "$control_url/op?key=config" >/dev/null
}
# send KEY HOST ID: prints the status
send() {
    send_request "$2" "/look/$3" "$3" \
        -H "X-Skylarkspar-Credential: key-$1"
}
# load PHASE SECONDS PERIOD HOST...: each host gets a request of "small" a
# period; writes a line with status, id and host of each to load.PHASE
load() {
    phase=$1 end_s=$(($(date +%s) + $2)) period=$3
    shift 3
    load_pids=""
    for n in "$@"; do
        (
            i=0
            while [ "$(date +%s)" -lt "$end_s" ]; do
                i=$((i + 1))
                id="$phase.$n.$i"
                (echo "$(send small "$n" "$id") $id $n") &
                sleep "$period"
            done
            wait
        ) >"$DIR/load.$phase.$n" &
        load_pids="$load_pids $!"
    done
    wait $load_pids
    cat "$DIR"/load."$phase".[0-9] >"$DIR/load.$phase"
}
count_status() { awk -v s="$2" '$1 == s' "$DIR/load.$1" | wc -l; }
# between LEAST MOST COUNT
between() {
    if [ "$3" -ge "$1" ] && [ "$3" -le "$2" ]; then
        echo within
    else
        echo "$3"
    fi
}
# find_owner: prints the host that answers the others' calls
find_owner() {
    for n in 0 1 2; do
        curl -sS -m 2 "http://$(ready_address "$n")/metrics" |
            awk -v n="$n" '$1 == "sky_quota_calls_total" {print $2, n}'
    done | sort -n | awk 'NR == 1 {print $2}'
}

start_site 1
publish_quota 7 10 10
for n in 0 1 2; do
    check "host $n becomes ready" "$(until_status 200 50 readyz_status $n)" 200
done
sleep 3 # the bucket of a new owner begins empty

load calm 6 0.6 0 1 2
check "within the quota all requests are served at all hosts" \
    "$(awk '$1 != 200' "$DIR/load.calm" | sort | uniq -c)" ""

load uneven 5 0.14 1
check "one host may use nearly the whole quota" \
    "$(awk '$1 != 200' "$DIR/load.uneven" | sort | uniq -c)" ""

sleep 2
load greedy 8 0.09 0 1 2
check "beyond the quota no more is served than rate and burst allow" \
    "$(between 70 100 "$(count_status greedy 200)")" within
check "the rest is refused with 429" \
    "$(awk '$1 != 200 && $1 != 429' "$DIR/load.greedy")" ""
for n in 0 1 2; do
    check "host $n refuses requests" \
        "$(awk -v n=$n '$1 == 429 && $3 == n {print "yes"; exit}' \
            "$DIR/load.greedy")" yes
done
check "each refusal has a Retry-After" \
    "$(awk '$1 == 429 {print $2}' "$DIR/load.greedy" | while read -r id; do
        grep -qi '^retry-after: *[0-9.]*[1-9]' "$DIR/head.$id" || echo "$id"
    done)" ""
check "a workspace without a quota is served meanwhile" "$(send free 0 f1)" 200
check "no key is logged" "$(cat "$DIR"/edge*.log | grep -c key-small)" 0

sleep 2
owner=$(find_owner)
others=$(for n in 0 1 2; do [ "$n" = "$owner" ] || echo "$n"; done)
load lost 10 0.6 $others &
lost_pid=$!
sleep 2
eval "kill -KILL \$EDGE$owner"
wait $lost_pid
check "the owner (host $owner) killed: within the quota all are served" \
    "$(awk '$1 != 200' "$DIR/load.lost")" ""
load greedy2 8 0.09 $others
check "the owner killed: no more is served than rate and burst allow" \
    "$(between 40 100 "$(count_status greedy2 200)")" within

publish_quota 8 2 2
sleep 2
load lower 8 0.2 $others
check "a lower quota is kept to" \
    "$(between 6 20 "$(count_status lower 200)")" within
publish_quota 9 0 0
sleep 2
load none 2 0.1 $others
check "without a quota all requests are served" \
    "$(awk '$1 != 200' "$DIR/load.none")" ""

# Guards against a refund that looks up the workspace which the key has lost.
n=$(echo $others | cut -d" " -f1)
for i in $others; do # one host is left: it passes no request on
    [ "$i" = "$n" ] || eval "kill -KILL \$EDGE$i"
done
publish_quota 10 100 100
sleep 5 # 9 requests find credit
set_fault '{"brittle_app": 1, "app_room": 6, "app_run_ms": 1500}'
send small "$n" warm >/dev/null # the host learns that the target is brittle
sleep 0.5
held_pids=""
for i in 1 2 3 4 5 6 7 8 9; do
    (echo "$(send small "$n" "held$i")") >"$DIR/held.$i" &
    held_pids="$held_pids $!"
done
sleep 0.5
publish_quota 11 100 100 key-other
wait $held_pids
check "with a removed key those under way end, those that wait are refused" \
    "$(cat "$DIR"/held.* | sort -u | tr '\n' ' ')" "200 401 "
check "all of them get a response" "$(cat "$DIR"/held.* | wc -l)" 9
set_fault '{"brittle_app": 0, "app_room": 0, "app_run_ms": 0}'
check "the host serves on" "$(until_status 200 10 send free "$n" after)" 200
[ "$failures" -eq 0 ] || tail -n 30 "$DIR"/edge*.log
[ "$failures" -eq 0 ]
