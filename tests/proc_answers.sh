# Checks over real processes that each request gets its own correct response:
# adapters, streams, idempotency keys, bad input, mismatched and truncated
# responses, and a request that crashes its engine.
set -u
BASE=24000
DIR=$(mktemp -d)
. scripts/cluster.sh
. tests/proc_check.sh
trap 'stop_processes; rm -rf "$DIR"' EXIT
start_platform 600000 300 20 8 16
for n in 1 2 3; do start_engine $n 4 16 0 5; done
start_service
for n in 1 2 3; do
    write_host_settings $n 3 4 16 false
    start_host $n
done
for n in 1 2 3; do wait_host_ready $n || exit 1; done
publish_documents 1 6
wait_workspace_in_force 1 2 3

# Each host serves each adapter, by the adapter that was asked for.
for host in 1 2 3; do
    for n in 1 4 6; do
        response=$(request_completion $host "notes$n" "hello")
        check "host$host: notes$n is served by its own adapter" \
            "$(echo "$response" | json_field model)" "notes$n@3"
    done
done
stream=$(request_completion 2 notes1@3 "TOKENS 5" -N | tr -d '\n')
stream=$(curl -sSN -m 20 -H "Authorization: Bearer guild-secret" \
    -d '{"model": "notes1", "prompt": "TOKENS 5", "stream": true}' \
    "http://$(host_address 2)/v1/completions")
check "stream: all events and the end marker arrive" \
    "$(echo "$stream" | grep -c '^data: ')" 6

# The stream of a caller that disconnects is cancelled, and nothing stays open.
curl -sN -m 1 -H "Authorization: Bearer guild-secret" \
    -d '{"model": "notes1", "prompt": "TOKENS 4000", "stream": true}' \
    "http://$(host_address 2)/v1/completions" >/dev/null
sleep 2
running=0
for n in 1 2 3; do
    running=$((running + $(curl -sS -m 5 "http://127.0.0.1:$((BASE + n))/report" |
        json_field running)))
done
check "requests running at the engines after the caller disconnected" \
    "$running" 0
check "requests open at the host after the caller disconnected" \
    "$("$BIN" status --json \
    -H "$(host_address 2)" | json_field open_requests)" 0

# A caller that reads slowly does not delay other callers.
curl -sN -m 6 --limit-rate 200 -H "Authorization: Bearer guild-secret" \
    -d '{"model": "notes1", "prompt": "TOKENS 400", "stream": true}' \
    "http://$(host_address 2)/v1/completions" >/dev/null &
check "another caller is served beside a slow reader" \
    "$(retry_until_ok 2 notes1 "hello" 2)" SKY_OK

# The fake engine by itself: resumed streams, late and missing cache events,
# orders with old fencing numbers.
start_engine 9 2 4 1 5
sleep 0.5
engine_url=http://127.0.0.1:$((BASE + 9))
# send_order PATH FENCE MODEL: prints the status
send_order() {
    curl -sS -m 5 -o /dev/null -w '%{http_code}' -H "X-Fencing-Number: $2" \
        -d "{\"lora_name\": \"$3\", \"lora_path\": \"$PLATFORM_ADDRESS\"}" \
        "$engine_url/v1/$1"
}
check "fake engine: load" "$(send_order load_lora_adapter 7 direct@1)" 200
check "fake engine: an old fencing number is refused" \
    "$(send_order unload_lora_adapter 6 direct@1)" 412
check "fake engine: a resumed stream sends only the remaining tokens" \
    "$(curl -sSN -m 9 -H 'X-Request-Id: r1' \
    -d '{"model": "direct@1", "prompt": "TOKENS 5", "stream": true,
    "resume_after": 3}' "$engine_url/v1/completions" | grep -c '"t[34] "')" 2
check "fake engine: a request adds a cache event" \
    "$(curl -sS -m 5 "$engine_url/events" |
    grep -c '"model":"direct@1"')" 1
set_fake_fault 9 '{"events_gap": 1}'
check "fake engine: events_gap leaves out cache events" \
    "$(curl -sS -m 5 "$engine_url/events")" \
    '{"events":[]}'
set_fake_fault 9 '{"events_gap": 0, "events_lag_ms": 60000}'
check "fake engine: events_lag_ms delays cache events" \
    "$(curl -sS -m 5 "$engine_url/events")" \
    '{"events":[]}'

# Bad input gets the error code that names its fault.
# send_body BODY [CURL_OPTION...]
send_body() {
    body=$1
    shift
    curl -sS -m 20 "$@" -d "$body" "http://$(host_address 1)/v1/completions"
}
auth="Authorization: Bearer guild-secret"
check "unknown adapter" \
    "$(result_code "$(send_body '{"model": "other"}' -H "$auth")")" \
    SKY_E_UNKNOWN_ADAPTER
check "unknown adapter version" \
    "$(result_code "$(send_body '{"model": "notes1@9"}' -H "$auth")")" \
    SKY_E_UNKNOWN_ADAPTER
check "wrong credential" "$(result_code "$(send_body '{"model": "notes1"}' \
    -H 'Authorization: Bearer wrong')")" SKY_E_UNAUTHORIZED
check "no credential" "$(result_code "$(send_body '{"model": "notes1"}')")" \
    SKY_E_UNAUTHORIZED
check "malformed JSON" \
    "$(result_code "$(send_body '{"model": ' -H "$auth")")" \
    SKY_E_BAD_REQUEST
head -c 2000000 /dev/zero | tr '\0' 'x' >"$DIR/large"
check "body over the limit" \
    "$(result_code "$(send_body "@$DIR/large" -H "$auth" \
    -H 'Expect:')")" SKY_E_TOO_LARGE
check "malformed deadline" \
    "$(result_code "$(send_body '{"model": "notes1"}' -H "$auth" \
    -H 'X-Timeout-Ms: soon')")" SKY_E_BAD_REQUEST
sed -i 's/^log_poll_ms.*/log_poll_ms = 7/' "$DIR/host3.toml"
cp "$DIR/host3.toml" "$DIR/bad.toml"
"$BIN" check "$DIR/bad.toml" 2>"$DIR/bad.log"
check "settings out of range: exit code" $? 3
check "settings out of range: line and key" \
    "$(grep -c 'bad.toml:14: platform.log_poll_ms: an integer from 50' \
        "$DIR/bad.log")" 1
printf 'pool = "desk"\nurgncy = 3\n' >"$DIR/bad-template.toml"
"$BIN" publish -H "$(host_address 1)" template typo "$DIR/bad-template.toml" \
    >/dev/null 2>&1
check "publish of a bad template: exit code" $? 41

# Of two amendments that race, one is accepted and the other gets a conflict.
"$BIN" amend -H "$(host_address 1)" --base 0 template opening \
    "$DIR/template.toml" >/dev/null 2>&1
check "amend of an old revision: exit code" $? 40
"$BIN" amend -H "$(host_address 2)" template opening "$DIR/template.toml" \
    >/dev/null
check "amend of the current revision: exit code" $? 0

# A request with an idempotency key runs once, even if it is repeated at
# another host or the service's response is lost.
# send_booking HOST KEY BODY
send_booking() {
    curl -sS -m 20 -H "$auth" -H "Idempotency-Key: $2" -d "$3" \
        "http://$(host_address "$1")/svc/ledger/book"
}
key="$(date +%s).one"
check "first request with a key" \
    "$(result_code "$(send_booking 1 "$key" slot-1)")" SKY_OK
check "second request with the same key at another host" \
    "$(result_code "$(send_booking 2 "$key" slot-1)")" \
    SKY_E_CLAIMED
set_fake_fault 20 '{"break": 1}'
key="$(date +%s).two"
check "service's response lost: the outcome is reported as unknown" \
    "$(result_code "$(send_booking 3 "$key" slot-2)")" \
    SKY_E_UNKNOWN
check "service's response lost: a repeat is not run" \
    "$(result_code "$(send_booking 1 "$key" slot-2)")" \
    SKY_E_CLAIMED
check "expired key" "$(result_code "$(send_booking 1 "1000000.old" slot-3)")" \
    SKY_E_KEY_EXPIRED
# A key is remembered for a time after its first request. One that was issued
# far in the future would still be accepted afterwards, and run again.
for ahead_s in 86400 99999999999999999; do
    check "key issued $ahead_s s in the future" "$(result_code \
        "$(send_booking 1 "$(($(date +%s) + ahead_s)).early" slot-4)")" \
        SKY_E_BAD_REQUEST
done
check "key issued a minute in the future" "$(result_code \
    "$(send_booking 1 "$(($(date +%s) + 60)).early" slot-5)")" SKY_OK
check "missing key" "$(result_code "$(curl -sS -m 9 -H "$auth" -d x \
    "http://$(host_address 1)/svc/ledger/book")")" SKY_E_KEY_REQUIRED
check "runs of slot-1 at the service" "$(fake_stat 20 slot-1)" 1
check "runs of slot-2 at the service" "$(fake_stat 20 slot-2)" 1
check "different bodies that reached the service" "$(curl -sS -m 5 \
    "http://127.0.0.1:$((BASE + 20))/stats" | grep -o '":' | wc -l)" 3
# 503 and the like would tell the caller that the request was not run.
for status in 408 421 429 503; do
    set_fake_fault 20 "{\"status_after_run\": $status}"
    check "service runs it and responds with $status: the outcome is unknown" \
        "$(result_code "$(send_booking 3 "$(date +%s).s$status" "run-$status")")" \
        SKY_E_UNKNOWN
    check "runs of it at the service" "$(fake_stat 20 "run-$status")" 1
done
set_fake_fault 20 '{"status_after_run": 0}'

# A response that carries another request's id or is truncated is never passed
# on as a success.
for n in 1 2 3; do set_fake_fault $n '{"cross": 9}'; done
response=$(request_completion 1 notes1 "crossed")
check "response with another request's id" \
    "$(result_code "$response")" SKY_E_MISMATCH
for n in 1 2 3; do set_fake_fault $n '{"cross": 0, "truncate": 9}'; done
response=$(request_completion 1 notes1 "truncated")
check "truncated response" "$(result_code "$response")" SKY_E_TRUNCATED
# A request whose first answer was cut short may have run, although the engines
# refuse it when it is sent again.
for n in 1 2 3; do set_fake_fault $n '{"truncate": 9, "late_ms": 2000}'; done
request_completion 1 notes1 "cut, then refused" >"$DIR/cut" &
cut_pid=$!
sleep 1
for n in 1 2 3; do set_fake_fault $n '{"refuse": 9, "late_ms": 0}'; done
wait $cut_pid
check "a refusal after a truncated response is no promise" \
    "$(result_code "$(cat "$DIR/cut")") $(json_field outcome <"$DIR/cut")" \
    "SKY_E_UNKNOWN unknown"
for n in 1 2 3; do set_fake_fault $n '{"truncate": 0, "refuse": 0}'; done
sleep 1

# A request that crashes its engine is quarantined after two engines at most.
for host in 1 2 3 1 2 3; do
    response=$(request_completion $host notes2 "CRASH please" 2>/dev/null)
    echo "crashing request at host$host: $(result_code "$response")" \
        "($(($(date +%s) - started_s)) s)"
done
alive=0
for n in 1 2 3; do
    eval "pid=\$ENGINE$n"
    kill -0 "$pid" 2>/dev/null && alive=$((alive + 1))
done
check "engines alive after repeats of a crashing request" "$alive" 1
check "the crashing request is quarantined" \
    "$(result_code "$(request_completion 2 notes2 "CRASH please")")" \
    SKY_E_QUARANTINED
for n in 1 2 3; do
    eval "pid=\$ENGINE$n"
    kill -0 "$pid" 2>/dev/null || start_engine $n 4 16 0 5
done
check "other requests are still served" \
    "$(retry_until_ok 1 notes2 "hello" 30)" SKY_OK
check "invariant breaches" "$(invariant_breaches 1 2 3)" 0
stop_and_report
