#!/bin/sh
# Checks hosts on the users' platform, as processes, against its fake: only
# callers with a key are served, no key reaches a target or a log, and a removed
# key opens its workspace no longer than the bound, also at a host that is cut
# off from the store, from the other hosts, or from both.
set -u
BASE=${BASE:-32000}
DIR=$(mktemp -d)
: "${BIN:=build/skylarkspar-check}" "${FAKE:=build/skyfake}"
trap 'kill -KILL $PIDS 2>/dev/null; rm -rf "$DIR"' EXIT
. tests/proc_check.sh
. tests/edge_site.sh

USE_LINKS=hosts
REVOKE_S=3
EXTRA_BOUNDS="revokeStrict = true
revokeMs = ${REVOKE_S}000"
PUBLIC_ROUTE=',{"name":"open","host":"a.example","pathPrefix":"/open/",
 "routeKind":"idempotent","timeoutMs":1500,"service":"app","public":true}'
# publish_keys VERSION KEYS: two workspaces, the second one with these keys
publish_keys() {
    publish_config "$1" "$PUBLIC_ROUTE" 100000 "[{\"name\":\"acme\",
        \"apiKeys\":[\"key-of-acme\"],\"priority\":1},
        {\"name\":\"bolt\",\"apiKeys\":[$2],\"priority\":2}]"
}
# ask HOST ID [KEY [CURL_OPTION...]]: prints the status
ask() {
    host_asked=$1 id_asked=$2 key_asked=${3:-}
    [ $# -lt 3 ] && set -- x x x
    shift 3
    send_request "$host_asked" /look/1 "$id_asked" -X POST -d x "$@" \
        ${key_asked:+-H "X-Skylarkspar-Credential: $key_asked"}
}
tenant_of() { state_map tenants_of | sed -n "s/.*\"$1\": *\"\(.*\)\"$/\1/p"; }
# ask_until PHASE HOST SECONDS KEY: asks each 0.1 s; writes a line with status,
# time sent and id of each to load.PHASE.HOST
ask_until() {
    end_s=$(($(date +%s) + $3)) i=0
    while [ "$(date +%s)" -lt "$end_s" ]; do
        i=$((i + 1))
        sent_ms=$(date +%s%3N)
        echo "$(ask "$2" "$1.$2.$i" "$4") $sent_ms $1.$2.$i"
        sleep 0.1
    done >"$DIR/load.$1.$2"
}
# runs_after PHASE HOST MS: prints how many requests that were sent later ran
runs_after() {
    state_map runs >"$DIR/state"
    awk -v from="$3" '$2 > from {print $3}' "$DIR/load.$1.$2" |
        while read -r id; do grep "\"$id\":" "$DIR/state"; done | wc -l
}
percent_ok() {
    awk '$1 == 200 {ok++} END {print int(100 * ok / NR)}' "$DIR/load.$1.$2"
}
# remove_key NAME VERSION HOST: bolt's key is removed while the host is cut
# off. Host 2 is the one; the first two serve acme's callers.
remove_key() {
    name=$1 version=$2
    ask_until "$name" 2 9 "key-$name" &
    cut_asks=$!
    ask_until "$name" 0 9 key-of-acme &
    others=$!
    ask_until "$name" 1 9 key-of-acme &
    others="$others $!"
    sleep 1.5
    publish_keys "$version" ""
    removed_ms=$(date +%s%3N)
    wait $cut_asks $others
    check "$name: the key opened its workspace before" \
        "$([ "$(awk -v to="$removed_ms" '$2 < to && $1 == 200' \
            "$DIR/load.$name.2" | wc -l)" -gt 2 ] && echo yes)" yes
    check "$name: no target runs a request with it after the bound" \
        "$(runs_after "$name" 2 $((removed_ms + REVOKE_S * 1000)))" 0
    for n in 0 1; do
        check "$name: ordinary callers of host $n are served" \
            "$([ "$(percent_ok "$name" $n)" -ge 95 ] && echo served ||
                percent_ok "$name" $n)" served
    done
}

start_site 2 2
check "without a configuration there is no service" "$(ask 0 early key)" 503
publish_keys 7 '"key-store","key-peers","key-both"'
for n in 0 1 2; do
    check "host $n becomes ready" "$(until_status 200 50 readyz_status $n)" 200
    until_status 200 50 ask $n "warm$n" key-of-acme >/dev/null
done
for n in 0 1 2; do
    check "host $n: no key" "$(ask $n "none$n")" 401
    check "host $n: an unknown key" "$(ask $n "odd$n" key-of-acm)" 401
    check "host $n: a key" "$(ask $n "good$n" key-of-acme)" 200
    check "host $n: its workspace" "$(tenant_of "good$n")" acme
    check "host $n: no key on a public route" \
        "$(send_request $n /open/1 "open$n" -X POST -d x \
            -H 'X-Skylarkspar-Credential: key-of-acme' \
            -H 'X-Skylarkspar-Tenant: acme')" 200
    check "host $n: no workspace there" "$(tenant_of "open$n")" -
    check "host $n: none of the caller's" "$(ask $n "forged$n" key-both \
        -H 'X-Skylarkspar-Tenant: acme'; tenant_of "forged$n")" 200bolt
done
check "refused requests did not run" \
    "$(state_map runs | grep -c '"none\|"odd')" 0

publish_keys 8 '"key-store","key-peers","key-both","key-new"'
for n in 0 1 2; do
    check "host $n: a new key" "$(until_status 200 10 ask $n "new$n" key-new)" \
        200
done

set_fault '{"store_down_2": 2}'
remove_key store 9
set_fault '{"store_down_2": 0}'
publish_keys 10 '"key-peers","key-both"'
until_status 200 40 ask 2 back1 key-peers >/dev/null

cut_host 2 1 hosts
remove_key peers 11
cut_host 2 0 hosts
publish_keys 12 '"key-both"'
until_status 200 40 ask 2 back2 key-both >/dev/null

set_fault '{"store_down_2": 2}'
cut_host 2 1 hosts
remove_key both 13
check "a host that is cut off refuses keys that it cannot prove" \
    "$(ask 2 unproven key-of-acme)" 503
check "it says when to return" \
    "$(grep -ci '^retry-after' "$DIR/head.unproven")" 1
check "it serves public routes" \
    "$(send_request 2 /open/1 unproven_open -X POST -d x)" 200
set_fault '{"store_down_2": 0}'
cut_host 2 0 hosts
check "it serves again" "$(until_status 200 40 ask 2 again key-of-acme)" 200

check "no key reached a target" "$(state_field keys_at_targets)" 0
check "no key is logged" "$(cat "$DIR"/edge*.log |
    grep -c 'key-of\|key-store\|key-peers\|key-both\|key-new')" 0
[ "$failures" -eq 0 ] || tail -n 30 "$DIR"/edge*.log
[ "$failures" -eq 0 ]
