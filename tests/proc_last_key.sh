#!/bin/sh
# Guards against a configuration that takes away the last key, or whose keys
# can't be read, and with which hosts on the users' platform, as processes, then
# serve everybody; and against one that asks for keys where none ever were.
# BIN_BEFORE: host of an earlier build, to run beside one of this build while
# the deployment has no keys (default: this build).
set -u
BASE=${BASE:-28200}
DIR=$(mktemp -d)
: "${BIN:=build/skylarkspar-check}" "${FAKE:=build/skyfake}"
: "${BIN_BEFORE:=$BIN}"
trap 'kill -KILL $PIDS 2>/dev/null; rm -rf "$DIR"' EXIT
. tests/proc_check.sh
. tests/edge_site.sh

USE_LINKS=1
PUBLIC_ROUTE=',{"name":"open","host":"a.example","pathPrefix":"/open/",
 "routeKind":"idempotent","timeoutMs":1500,"service":"app","public":true}'
KEYED='[{"name":"acme","apiKeys":["key-of-acme"],"priority":1},
 {"name":"bolt","apiKeys":["key-of-bolt"],"priority":2}]'
NAMELESS='[{"name":"","apiKeys":["key-of-acme"]}]'
version=0
# publish [TENANTS]: a new version with this list, or without one
publish() {
    version=$((version + 1))
    publish_config $version "$PUBLIC_ROUTE" 100000 "${1:-}"
}
# ask HOST ID PATH [KEY]: prints the status
ask() {
    send_request "$1" "$3" "$2" -X POST -d x \
        ${4:+-H "X-Skylarkspar-Credential: $4"} \
        -H 'X-Skylarkspar-Tenant: forged'
}
# ask_as_host HOST ID [KEY]: a request that another host passes on
ask_as_host() {
    curl -sS -m 8 -o /dev/null -D "$DIR/head.$2" -w '%{http_code}' -d x \
        -H 'Host: a.example' -H "X-Skylarkspar-Attempt-Id: $2" \
        -H 'X-Skylarkspar-Deadline-Ms: 1500' -H 'Sky-Hop-From: edge9' \
        ${3:+-H "X-Skylarkspar-Credential: $3"} \
        "http://127.0.0.1:$((BASE + 140 + $1))/look/1"
}
tenant_of() { state_map tenants_of | sed -n "s/.*\"$1\": *\"\(.*\)\"$/\1/p"; }
ran() { state_map runs | grep -c "\"$1"; }
wait_for_version() {
    for n in 0 1; do
        tries=30
        until grep -q "event=config_in_force version=$version " \
            "$DIR/edge$n.log" || [ $tries -eq 0 ]; do
            sleep 0.1
            tries=$((tries - 1))
        done
    done
}
wait_until_ready() {
    for n in 0 1; do
        check "host $n becomes ready" \
            "$(until_status 200 50 readyz_status $n)" 200
    done
}
# check_shut NAME STATUS: what hosts do while the list opens no workspace
check_shut() {
    for n in 0 1; do
        check "$1, host $n: a removed key" \
            "$(ask $n "$1.shut.$n" /look/1 key-of-acme)" "$2"
        check "$1, host $n: a key that was never held" \
            "$(ask $n "$1.shut.odd$n" /look/1 key-of-nobody)" "$2"
        check "$1, host $n: no key" "$(ask $n "$1.shut.none$n" /look/1)" "$2"
        check "$1, host $n: a request passed on" \
            "$(ask_as_host $n "$1.shut.hop$n" key-of-acme) $(grep -ci \
                '^sky-hop-outcome: not_run' "$DIR/head.$1.shut.hop$n")" "$2 1"
        check "$1, host $n: a public route" \
            "$(ask $n "$1.open.$n" /open/1 key-of-acme)" 200
        check "$1, host $n: no workspace there" "$(tenant_of "$1.open.$n")" -
    done
    check "$1: none of the refused requests ran" "$(ran "$1.shut")" 0
}
# check_anonymous NAME: what they do without a list, with keys in use before
check_anonymous() {
    for n in 0 1; do
        check "$1, host $n: a removed key" \
            "$(ask $n "$1.shut.$n" /look/1 key-of-acme)" 401
        check "$1, host $n: a request passed on with a key" \
            "$(ask_as_host $n "$1.shut.hop$n" key-of-bolt)" 401
        check "$1, host $n: no key" "$(ask $n "$1.none.$n" /look/1)" 200
        check "$1, host $n: no workspace" "$(tenant_of "$1.none.$n")" -
    done
    check "$1: no request with a key ran" "$(ran "$1.shut")" 0
}

# A deployment that never had keys, one host of the build before.
"$FAKE" site "$BASE" 8 2 4 2 >"$DIR/site.log" 2>&1 &
PIDS="$PIDS $!"
sleep 0.3
write_edge_settings 0 0
write_edge_settings 1 1
start_edge 0
this_build=$BIN
BIN=$BIN_BEFORE
start_edge 1
BIN=$this_build
publish
wait_until_ready
for n in 0 1; do
    check "never had keys, host $n: no key" \
        "$(until_status 200 20 ask $n "never.$n" /look/1)" 200
    check "never had keys, host $n: a field that is no key" \
        "$(ask $n "never.field$n" /look/1 a-value) $(tenant_of "never.field$n")" \
        "200 forged"
done
check "the field reached the targets" "$(state_field keys_at_targets)" 2
for cut in 0 1; do
    cut_host $cut 2
    check "never had keys, host $cut passes a request on" \
        "$(until_status 200 20 ask $cut "never.cut$cut" /look/1 a-value)" 200
    cut_host $cut 0
    until_status 200 20 ask $cut "never.again$cut" /look/1 >/dev/null
done

# Keys come and go; the settings do not tell of them.
kill_hosts 1
start_edge 1
wait_until_ready
keys_at_targets=$(state_field keys_at_targets)
publish "$KEYED"
wait_for_version
for n in 0 1; do
    check "with keys, host $n" "$(ask $n "keyed.$n" /look/1 key-of-acme) $(tenant_of \
        "keyed.$n")" "200 acme"
    check "with keys, host $n: no key" "$(ask $n "keyed.none$n" /look/1)" 401
done
publish
wait_for_version
check_anonymous gone
publish
wait_for_version
check_anonymous still_gone
for n in 0 1; do
    check "host $n logs once that the deployment was opened" \
        "$(grep -c 'event=access_opened' "$DIR/edge$n.log")" 1
done

# The settings tell of keys from here on.
EXTRA_BOUNDS='revokeStrict = true
revokeMs = 3000'
for n in 0 1; do
    write_edge_settings $n $n
done
restart_hosts 0 1
check_anonymous gone_restarted
for form in empty:401:[] null:401:null nameless:401:"$NAMELESS" \
    number:503:7 object:503:'{"acme":["key-of-acme"]}'; do
    name=${form%%:*}
    list=${form#*:}
    status=${list%%:*}
    list=${list#*:}
    publish "$KEYED"
    wait_for_version
    check "$name: the key opens its workspace before" \
        "$(until_status 200 20 ask 0 "$name.before" /look/1 key-of-acme)" 200
    publish "$list"
    wait_for_version
    check_shut "$name" "$status"
done
publish '[]'
wait_for_version
restart_hosts 0 1
check_shut empty_restarted 401

# Requests that wait or are answered as the list becomes empty.
publish "$KEYED"
wait_for_version
set_fault '{"event_ms": 300}'
generate() { # ID ADAPTER: prints the status
    send_request 0 /gen/1 "$1" -X POST -d prompt -H "X-Skylarkspar-Model: m1/$2" \
        -H 'X-Skylarkspar-Token-Count: 100,40' \
        -H 'X-Skylarkspar-Credential: key-of-acme'
}
check "an adapter is loaded" "$(until_status 200 20 generate warm1 a1)" 200
generate relayed a1 >"$DIR/relayed" &
relayed=$!
set_fault '{"late_orders": 30}'
generate waiting a2 >"$DIR/waiting" &
waiting=$!
sleep 0.3
publish '[]'
wait $relayed $waiting
check "a stream that had begun is not cut" \
    "$(cat "$DIR/relayed") $(event_count relayed)" "200 8"
check "a request that waited is refused, and has not run" \
    "$(cat "$DIR/waiting") $(run_count waiting)" "401 "
check "no key reached a target" "$(state_field keys_at_targets)" \
    "$keys_at_targets"
check "no key is logged" "$(cat "$DIR"/edge*.log | grep -c 'key-of')" 0
[ "$failures" -eq 0 ] || tail -n 30 "$DIR"/edge*.log
[ "$failures" -eq 0 ]
