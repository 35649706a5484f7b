#!/bin/sh
# Checks a host, as a process, with a workspace that has a quota: a request that
# the target refused costs nothing, one that may have run keeps its cost. Guards
# against a quota that is exceeded by requests whose answers were lost.
set -u
BASE=${BASE:-31400}
DIR=$(mktemp -d)
: "${BIN:=build/skylarkspar-check}" "${FAKE:=build/skyfake}"
trap 'kill -KILL $PIDS 2>/dev/null; rm -rf "$DIR"' EXIT
. tests/proc_check.sh
. tests/edge_site.sh
REQUESTS=60

# publish_quota VERSION RATE BURST: in requests
publish_quota() {
    curl -fsS -m 5 -d "{\"version\":$1,\"routes\":[
      {\"name\":\"book\",\"host\":\"a.example\",\"pathPrefix\":\"/book/\",
       \"routeKind\":\"non_idempotent\",\"timeoutMs\":1500,
       \"service\":\"app\",\"maxAttempts\":1}],
      \"services\":[{\"name\":\"app\",\"healthPath\":\"/h\",
       \"maxConns\":100}],
      \"tenants\":[{\"name\":\"small\",\"apiKeys\":[\"key-small\"],
        \"priority\":1,\"ratePerS\":$2,\"burst\":$3}],
      \"limits\":{\"maxHeaderBytes\":8192,\"maxBodyBytes\":100000,
       \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}" \
        "$control_url/op?key=config" >/dev/null
}
# send KIND NUMBER: prints the status
send() {
    send_request 0 "/book/$1" "$1.$2" -X POST -d body \
        -H "X-Skylarkspar-Credential: key-small"
}
# count KIND STATUS: of the last requests of this kind
count() { grep -c "^$2\$" "$DIR/statuses.$1"; }
# send_all KIND: sends the requests one after the other
send_all() {
    for i in $(seq $REQUESTS); do
        echo "$(send "$1" "$i")"
    done >"$DIR/statuses.$1"
    echo "$1: $(sort "$DIR/statuses.$1" | uniq -c | tr '\n' ' ')"
}

start_site 1 1 1
publish_quota 7 1 6
check "the host becomes ready" "$(until_status 200 50 readyz_status 0)" 200
sleep 3 # the bucket of a new owner begins empty

# What may have run keeps its cost: after burst and rate, all others get 429.
for kind in lose garble fail; do
    sleep 6 # the bucket fills
    set_fault "{\"$kind\": 1000}"
    send_all "$kind"
    set_fault "{\"$kind\": 0}"
    ran=$((REQUESTS - $(count "$kind" 429)))
    check "$kind: requests run up to the quota" \
        "$([ "$ran" -ge 1 ] && [ "$ran" -le $((REQUESTS / 2)) ] &&
            echo within || echo "$ran of $REQUESTS")" within
    check "$kind: none that ran is called refused" "$(count "$kind" 503)" 0
done

# What the target refused costs nothing.
sleep 6
set_fault '{"shed": 1000}'
send_all shed
set_fault '{"shed": 0}'
check "shed: each request is refused by the target, none by the quota" \
    "$(count shed 503)" $REQUESTS
sleep 1
check "the credit that was given back is there" \
    "$(until_status 200 1 send after 1)" 200

[ "$failures" -eq 0 ] || tail -n 30 "$DIR"/edge*.log
[ "$failures" -eq 0 ]
