# Checks over real processes that requests are served through killed and frozen
# hosts, outages of the log and the store, leaving targets and planned stops.
set -u
BASE=25000
LEASE_MS=1000
DIR=$(mktemp -d)
. scripts/cluster.sh
. tests/proc_check.sh
trap 'stop_processes; rm -rf "$DIR"' EXIT
start_platform 600000 300 20 8 16
for n in 1 2 3; do start_engine $n 4 16 0 20; done
start_service
for n in 1 2 3 4; do
    write_host_settings $n 3 4 16 false
    start_host $n
done
for n in 1 2 3 4; do wait_host_ready $n || exit 1; done
publish_documents 1 10
wait_workspace_in_force 1 2 3 4
check "a request is served" "$(retry_until_ok 1 notes1 "hello" 20)" SKY_OK

# A request in flight at another host completes although the owner is killed.
owner=$(shard_owner 1)
entry_host=$((owner % 4 + 1))
request_completion $entry_host notes1 "TOKENS 150" >"$DIR/long" 2>&1 &
request_pid=$!
sleep 1
eval "kill -9 \$HOST$owner"
wait $request_pid
check "a request in flight completes after the owner is killed" \
    "$(result_code "$(cat "$DIR/long")")" SKY_OK
check "a request is served by a new owner" \
    "$(retry_until_ok $entry_host notes2 "hello" 40)" SKY_OK
start_host "$owner"
wait_host_ready "$owner" || failures=$((failures + 1))

# An owner that is frozen for longer than its lease is replaced, and breaches
# no invariant when it resumes.
owner=$(shard_owner "$entry_host")
entry_host=$((owner % 4 + 1))
eval "kill -STOP \$HOST$owner"
check "a request is served while the owner is frozen" \
    "$(retry_until_ok $entry_host notes3 "hello" 40)" SKY_OK
for n in 4 5 6 7 8; do
    retry_until_ok $entry_host notes$n "hello" 20 >/dev/null
done
eval "kill -CONT \$HOST$owner"
check "a request is served after the owner resumes" \
    "$(retry_until_ok $entry_host notes9 "hello" 20)" \
    SKY_OK
wait_host_ready "$owner" || failures=$((failures + 1))

# While the log is unavailable for longer than a lease, resident adapters are
# served, requests that need a claim are refused with a time to retry, and no
# request hangs.
retry_until_ok 1 notes1 "hello" 20 >/dev/null
set_fake_fault 0 '{"log_down": 1}'
sleep 4
check "log unavailable: a resident adapter is served" \
    "$(retry_until_ok 1 notes1 "hello" 10)" SKY_OK
response=$(curl -sS -m 20 -H "Authorization: Bearer guild-secret" \
    -H "Idempotency-Key: $(date +%s).out" -d slot-9 \
    "http://$(host_address 2)/svc/ledger/book")
check "log unavailable: a claim is refused" \
    "$(result_code "$response")" SKY_E_LOG_DOWN
check "log unavailable: retry_after_ms of a refused claim" \
    "$(echo "$response" | json_field retry_after_ms)" 2000
set_fake_fault 0 '{"log_down": 0, "lose_answers": 5}'
sleep 1
check "a request is served after the outage of the log" \
    "$(retry_until_ok 3 notes10 "hello" 30)" SKY_OK
response=$(curl -sS -m 20 -H "Authorization: Bearer guild-secret" \
    -H "Idempotency-Key: $(date +%s).lost" -d slot-10 \
    "http://$(host_address 2)/svc/ledger/book")
check "a claim succeeds although the responses to its appends are lost" \
    "$(result_code "$response")" SKY_OK
set_fake_fault 0 '{"lose_answers": 0}'

# While the store is unreachable, requests that need a load fail soon, instead
# of at their deadline.
set_fake_fault 0 '{"store_down": 1}'
request_pids=""
for n in 2 3 4 5 6 7 8 9 10; do
    request_completion 1 notes$n "store" -H 'X-Timeout-Ms: 60000' \
        >/dev/null 2>&1 &
    request_pids="$request_pids $!"
done
sleep 12
still_waiting=0
for request_pid in $request_pids; do
    kill -0 "$request_pid" 2>/dev/null && still_waiting=$((still_waiting + 1))
done
set_fake_fault 0 '{"store_down": 0}'
check "store unreachable: callers still waiting after 12 s" "$still_waiting" 0
check "a request is served after the outage of the store" \
    "$(retry_until_ok 1 notes2 "hello" 30)" \
    SKY_OK

# A target that leaves gets no new requests.
curl -fsS -d '{"engine1": "leaving"}' "http://$PLATFORM_ADDRESS/hosts" \
    >/dev/null
sleep 3
served_before=$(fake_stat 1 served)
for n in 1 2 3 4 5 6 7 8; do
    retry_until_ok $((n % 4 + 1)) notes$n "hello" 20 >/dev/null
done
check "requests sent to a leaving target" \
    "$(($(fake_stat 1 served) - served_before))" 0
curl -fsS -d '{"engine1": "live"}' "http://$PLATFORM_ADDRESS/hosts" >/dev/null

# Hosts are restarted one after the other, each with a request in flight.
for n in 1 2 3 4; do
    retry_until_ok $n notes1 "hello" 20 >/dev/null
    request_completion $n notes1 "TOKENS 150" >"$DIR/stop$n" 2>&1 &
    request_pid=$!
    sleep 1
    eval "pid=\$HOST$n"
    kill "$pid"
    wait "$pid"
    check "host$n: exit code of a planned stop" $? 0
    wait $request_pid
    check "host$n: a request in flight completes at a planned stop" \
        "$(result_code "$(cat "$DIR/stop$n")")" SKY_OK
    start_host $n
    wait_host_ready $n || failures=$((failures + 1))
done
check "a request is served after all hosts were restarted" \
    "$(retry_until_ok 2 notes5 "hello" 30)" \
    SKY_OK
evicted=0
for n in 1 2 3; do
    evicted=$((evicted + $(fake_stat $n evicted_in_use)))
done
check "adapters evicted in use, counted by the engines" "$evicted" 0
check "invariant breaches" "$(invariant_breaches 1 2 3 4)" 0
stop_and_report
