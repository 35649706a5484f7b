#!/bin/sh
# Checks `skylarkspar explain` against a host, as processes. Guards against an
# explanation that differs from what the host does, that sends or changes
# anything, or that callers can read.
set -u
BASE=${BASE:-32300}
DIR=$(mktemp -d)
: "${BIN:=build/skylarkspar-check}" "${FAKE:=build/skyfake}"
PIDS=""
trap 'kill -KILL $PIDS 2>/dev/null; rm -rf "$DIR"' EXIT
. tests/proc_check.sh
. tests/edge_site.sh

metrics_address="127.0.0.1:$((BASE + 160))"
# explain [OPTION...]: asks host 0 about a path of a.example; the output is in
# explain.out, the messages in explain.err; prints the exit code
explain() {
    "$BIN" explain -H "$metrics_address" --caller-host a.example "$@" \
        >"$DIR/explain.out" 2>"$DIR/explain.err"
    echo $?
}
json() { # PATH: prints the values at PATH of the output, on one line
    "$FAKE" json "$1" <"$DIR/explain.out" | tr -d '"' | tr '\n' ' ' |
        sed 's/ $//'
}
count() { wc -w; }
sorted() { tr ' ' '\n' | sort | tr '\n' ' ' | sed 's/ $//'; }
# obstacle TARGET: prints why the target is ruled out
obstacle() {
    "$FAKE" json 'candidates.*' <"$DIR/explain.out" | grep "\"$1\"" |
        json_field obstacle
}
# target_of ID: prints the target that the host's log names for a request
target_of() {
    sleep 0.5
    sed -n "s/.*event=request_end.* id=$1 .* target=\([^ ]*\) .*/\1/p" \
        "$DIR/edge0.log" | tail -n 1
}
runs() { curl -fsS -m 5 "$control_url/state" | "$FAKE" json runs; }
status_of() { # ADDRESS
    curl -sS -m 2 -o /dev/null -w '%{http_code}' -H 'Host: a.example' \
        -H 'X-Skylarkspar-Attempt-Id: e' -H 'X-Skylarkspar-Credential: key-free' \
        -d '{"host": "a.example", "path": "/gen/1"}' "http://$1/explain"
}
generate() { # PATH ADAPTER ID
    send_request 0 "$1" "$3" -X POST -d prompt \
        -H "X-Skylarkspar-Model: m1/$2" -H 'X-Skylarkspar-Token-Count: 100,40' \
        -H 'X-Skylarkspar-Credential: key-small'
}

"$FAKE" site "$BASE" 8 3 4 3 >"$DIR/site.log" 2>&1 &
PIDS="$PIDS $!"
sleep 0.3
EXTRA_BOUNDS='quotaWindowS = 8
quotaOvershoot = 0.1
quotaSlack = 4000'
write_edge_settings 0 0
sed -i "1i ip = \"127.0.0.1\"\ninternalPorts = [$((BASE + 160))]" \
    "$DIR/edge0.toml"
start_edge 0
publish_config 7 "" 100000 '[{"name":"small","apiKeys":["key-small"],
  "priority":1,"ratePerS":100000,"burst":50000,"unit":"token_meter"},
  {"name":"free","apiKeys":["key-free"],"priority":2}]'
check "the host becomes ready" "$(until_status 200 50 readyz_status 0)" 200

set -- --path /gen/1 --workspace small --model m1 --adapter a1 --tokens 100,40
check "a cold adapter: exit code" "$(explain "$@" --json)" 0
check "a cold adapter: resident nowhere" \
    "$(json choice.adapter_missing) $(json choice.target)" "true null"
check "a cold adapter: each engine is preferred once for the load" \
    "$(json 'preferred.*' | sorted)" "$(json 'candidates.*.target' | sorted)"
check "a cold adapter: candidates" "$(json 'candidates.*.target' | count)" 3
check "explain had no adapter loaded" \
    "$(sleep 1; explain "$@" --json >"$DIR/code"; json choice.target)" \
    null
preferred=$(json 'preferred.*' | cut -d ' ' -f 1)

check "a request by that adapter is served" \
    "$(until_status 200 20 generate /gen/1 a1 first)" 200
check "the first preferred target loaded it" "$(target_of first)" "$preferred"
check "a resident adapter: exit code" "$(explain "$@" --id second --json)" 0
chosen=$(json choice.target)
check "a following request is served" "$(generate /gen/1 a1 second)" 200
check "it goes to the explained target" "$chosen" "$(target_of second)"
check "the others are ruled out by the adapter" \
    "$(json 'candidates.*.obstacle' | sorted)" \
    "adapter_not_resident adapter_not_resident none"
check "quota: cost and terms" \
    "$(json admission.quota.cost) $(json admission.quota.unit)" "140 tokens"
check "admitted" "$(json admission.refusal)" null

runs >"$DIR/runs.before"
# Ten times 49,000 tokens are far more than the quota and its burst.
for i in 1 2 3 4 5 6 7 8 9 10; do
    explain "$@" --tokens 40000,9000 --json >"$DIR/code"
done
check "explain takes no credit: none waits" \
    "$(json admission.quota.waiting)" 0
explain --path /look/1 --workspace free --json >"$DIR/code"
check "a plain service" \
    "$(json admission.service) $(json 'candidates.*.obstacle')" \
    "app none none none"
runs >"$DIR/runs.after"
check "explain sent nothing to a target" \
    "$(cmp "$DIR/runs.before" "$DIR/runs.after" && echo same)" same

check "explain takes no credit: a request is served" \
    "$(generate /gen/1 a1 third)" 200

# While requests come, the host holds credit; owners renew it each 400 ms. It
# would fall at nearly each explanation that takes some.
url="http://$metrics_address/explain"
send_steadily() { # ID
    while [ -f "$DIR/filling" ]; do
        curl -sS -m 2 -o /dev/null -X POST -d prompt -H 'Host: a.example' \
            -H "X-Skylarkspar-Attempt-Id: $1" \
            -H 'X-Skylarkspar-Model: m1/a1' \
            -H 'X-Skylarkspar-Token-Count: 100,40' \
            -H 'X-Skylarkspar-Credential: key-small' \
            "http://$(front_address 0)/gen/1"
        sleep 0.02
    done
}
: >"$DIR/filling"
for i in 1 2 3 4; do
    send_steadily "fill$i" >"$DIR/filled$i" 2>&1 &
    PIDS="$PIDS $!"
done
for i in 1 2 3 4 5 6 7 8 9 10 11 12; do
    curl -sS -m 2 -w '\n' -d '{"host": "a.example", "path": "/gen/1",
        "workspace": "small", "model": "m1", "tokens": [5, 5]}' \
        $url $url $url $url $url $url $url $url $url $url >"$DIR/explained"
    while read -r line; do
        echo "$line" >"$DIR/explain.out"
        echo "$(json admission.quota.result)" \
            "$(json admission.quota.credit_left)"
    done <"$DIR/explained" >"$DIR/credits"
    # Enough for the ten explanations, if each took some.
    awk 'NR == 1 {exit !($2 >= 100)}' "$DIR/credits" && break
done
rm "$DIR/filling"
check "the host holds credit" \
    "$(grep -q '^granted' "$DIR/credits" && echo granted)" granted
check "explain takes no credit: what the host holds" \
    "$(awk 'NR > 1 && $2 < last {n++} {last = $2}
        END {print n < 5 ? "kept" : n " times less"}' "$DIR/credits")" kept

for i in 1 2 3 4 5 6; do
    explain --path /look/1 --workspace free --id "plain$i" --json \
        >"$DIR/code"
    send_request 0 /look/1 "plain$i" \
        -H 'X-Skylarkspar-Credential: key-free' >"$DIR/code"
    check "of 3 idle targets: request $i goes to the explained one" \
        "$(target_of "plain$i")" "$(json choice.target)"
done

set_fault '{"shed": 1, "pause_s": 20}'
for i in 1 2 3 4 5 6 7 8; do
    send_request 0 /look/1 "shed$i" \
        -H 'X-Skylarkspar-Credential: key-free' >"$DIR/code"
done
explain --path /look/1 --workspace free --json >"$DIR/code"
check "a target that asked for a pause: reason" \
    "$(json 'candidates.*.obstacle' | sorted)" "none none paused"
check "a target that asked for a pause is not chosen" \
    "$(obstacle "$(json choice.target)")" none

check "text: exit code" "$(explain "$@")" 0
check "text: the chosen target is marked" \
    "$(grep -c "^-> *$chosen " "$DIR/explain.out")" 1
cat "$DIR/explain.out"
check "no key is shown" "$(cat "$DIR"/explain.* | grep -c key-)" 0

explain --path /none --json >"$DIR/code"
check "no route" "$(json admission.refusal)" no_route
explain --path /gen/1 --workspace nobody --json >"$DIR/code"
check "an unknown workspace" "$(json admission.refusal)" \
    workspace_unknown

check "not on the callers' address" "$(status_of "$(front_address 0)")" 404
check "not on the ready address" "$(status_of "$(ready_address 0)")" 404
check "on the metrics address" "$(status_of "$metrics_address")" 200
check "a key in the body is refused" "$(curl -sS -m 2 -o "$DIR/refused" \
    -w '%{http_code}' -d '{"host": "a", "path": "/", "key": "key-small"}' \
    "http://$metrics_address/explain") $(grep -c key-small "$DIR/refused")" \
    "400 0"
for body in '' '[' '{}' '{"host": 1, "path": "/"}' '[1]' 'null' \
    '{"host": "a", "path": "/", "parts": [["zz", 1]]}' \
    '{"host": "a", "path": "/", "tokens": [-1, 2]}'; do
    check "malformed body '$body'" "$(curl -sS -m 2 -o /dev/null \
        -w '%{http_code}' -d "$body" "http://$metrics_address/explain")" 400
done

check "no path: exit code" "$(explain)" 2
check "malformed tokens: exit code" "$(explain --path /gen/1 --tokens 1)" 2
check "malformed parts: exit code" "$(explain --path /gen/1 --parts x)" 2
check "adapter without a model: exit code" \
    "$(explain --path /gen/1 --adapter a1)" 2
check "malformed parts are named" "$(explain --path /gen/1 --parts x,1 >/dev/null
    grep -c -e --parts "$DIR/explain.err")" 1
check "parts: exit code" "$(explain "$@" --parts 1f:100,a0:30)" 0
kill -STOP "$EDGE0"
begin_s=$(date +%s)
check "a host that hangs: exit code" "$(explain --path /gen/1)" 1
check "a host that hangs: time" \
    "$([ $(($(date +%s) - begin_s)) -le 3 ] && echo short)" short
kill -CONT "$EDGE0"
kill -KILL "$EDGE0"
check "a host that is gone: exit code" "$(explain --path /gen/1)" 1
[ "$failures" -eq 0 ] || tail -n 30 "$DIR"/edge*.log
[ "$failures" -eq 0 ]
