# Kills, freezes, outages and planned stops over real processes.
set -u
BASE=25000
LEASE_MS=1000
DIR=$(mktemp -d)
. scripts/cluster.sh
. tests/proc_check.sh
trap 'stop_all; rm -rf "$DIR"' EXIT
start_platform 600000 300 20 8 16
for n in 1 2 3; do start_engine $n 4 16 0 20; done
start_service
for n in 1 2 3 4; do
    write_settings $n 3 4 16 false
    start_host $n
done
for n in 1 2 3 4; do wait_ready $n || exit 1; done
publish_documents 1 10
wait_in_force 1 2 3 4
check "first answer" "$(until_ok 1 notes1 "hello" 20)" SKY_OK

# The owner is killed with requests in flight: those go on.
owner=$(owner_of 1)
entry=$((owner % 4 + 1))
complete $entry notes1 "TOKENS 150" >"$DIR/long" 2>&1 &
long=$!
sleep 1
eval "kill -9 \$HOST$owner"
wait $long
check "request in flight while its owner is killed" \
    "$(code_of "$(cat "$DIR/long")")" SKY_OK
check "a new owner answers" "$(until_ok $entry notes2 "hello" 40)" SKY_OK
start_host "$owner"
wait_ready "$owner" || failures=$((failures + 1))

# The owner is frozen past its lease; it wakes up and does no harm.
owner=$(owner_of "$entry")
entry=$((owner % 4 + 1))
eval "kill -STOP \$HOST$owner"
check "answered while the owner is frozen" \
    "$(until_ok $entry notes3 "hello" 40)" SKY_OK
for n in 4 5 6 7 8; do
    until_ok $entry notes$n "hello" 20 >/dev/null
done
eval "kill -CONT \$HOST$owner"
check "answered after it wakes up" "$(until_ok $entry notes9 "hello" 20)" \
    SKY_OK
wait_ready "$owner" || failures=$((failures + 1))

# The log is out for longer than any lease: resident adapters go on, calls
# that need a claim are told to come back, nothing is stuck.
until_ok 1 notes1 "hello" 20 >/dev/null
fault 0 '{"log_down": 1}'
sleep 4
check "resident adapter with the log out" \
    "$(until_ok 1 notes1 "hello" 10)" SKY_OK
answer=$(curl -sS -m 20 -H "Authorization: Bearer guild-secret" \
    -H "Idempotency-Key: $(date +%s).out" -d slot-9 \
    "http://$(host_address 2)/svc/ledger/book")
check "claim with the log out" "$(code_of "$answer")" SKY_E_LOG_DOWN
check "claim with the log out: when to come back" \
    "$(echo "$answer" | field retry_after_ms)" 2000
fault 0 '{"log_down": 0, "lose_answers": 5}'
sleep 1
check "answered after the outage" "$(until_ok 3 notes10 "hello" 30)" SKY_OK
answer=$(curl -sS -m 20 -H "Authorization: Bearer guild-secret" \
    -H "Idempotency-Key: $(date +%s).lost" -d slot-10 \
    "http://$(host_address 2)/svc/ledger/book")
check "claim whose append's answer was lost" "$(code_of "$answer")" SKY_OK
fault 0 '{"lose_answers": 0}'

# The store is out: callers are told at once, not at their deadline.
fault 0 '{"store_down": 1}'
calls=""
for n in 2 3 4 5 6 7 8 9 10; do
    complete 1 notes$n "store" -H 'X-Timeout-Ms: 60000' >/dev/null 2>&1 &
    calls="$calls $!"
done
sleep 12
held=0
for call in $calls; do
    kill -0 "$call" 2>/dev/null && held=$((held + 1))
done
fault 0 '{"store_down": 0}'
check "callers held to their deadline" "$held" 0
check "answered after the store is back" "$(until_ok 1 notes2 "hello" 30)" \
    SKY_OK

# A leaving target gets no new work.
curl -fsS -d '{"engine1": "leaving"}' "http://$LOG/hosts" >/dev/null
sleep 3
before=$(stat_of 1 served)
for n in 1 2 3 4 5 6 7 8; do
    until_ok $((n % 4 + 1)) notes$n "hello" 20 >/dev/null
done
check "work given to a leaving target" \
    "$(($(stat_of 1 served) - before))" 0
curl -fsS -d '{"engine1": "live"}' "http://$LOG/hosts" >/dev/null

# Every host is replaced, one after the other, with requests in flight.
for n in 1 2 3 4; do
    until_ok $n notes1 "hello" 20 >/dev/null
    complete $n notes1 "TOKENS 150" >"$DIR/stop$n" 2>&1 &
    call=$!
    sleep 1
    eval "pid=\$HOST$n"
    kill "$pid"
    wait "$pid"
    check "host$n: exit code of a planned stop" $? 0
    wait $call
    check "host$n: request in flight at a planned stop" \
        "$(code_of "$(cat "$DIR/stop$n")")" SKY_OK
    start_host $n
    wait_ready $n || failures=$((failures + 1))
done
check "answered after all are replaced" "$(until_ok 2 notes5 "hello" 30)" \
    SKY_OK
evicted=0
for n in 1 2 3; do
    evicted=$((evicted + $(stat_of $n evicted_in_use)))
done
check "adapters evicted in use, as the engines saw it" "$evicted" 0
check "invariants" "$(breaches 1 2 3 4)" 0
finish
