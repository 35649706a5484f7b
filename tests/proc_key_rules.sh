#!/bin/sh
# Guards against a reload (SIGHUP) that tells a host of keys and changes nothing
# before the next configuration: a host on the users' platform, as a process,
# whose configuration has no workspaces.
set -u
BASE=${BASE:-28600}
DIR=$(mktemp -d)
: "${BIN:=build/skylarkspar-check}" "${FAKE:=build/skyfake}"
trap 'kill -KILL $PIDS 2>/dev/null; rm -rf "$DIR"' EXIT
. tests/proc_check.sh
. tests/edge_site.sh

ask() { # ID [KEY]: prints the status
    send_request 0 /look/1 "$1" -X POST -d x \
        ${2:+-H "X-Skylarkspar-Credential: $2"}
}
# reload BOUNDS: takes these bounds, and prints how often a reload succeeded
reload() {
    EXTRA_BOUNDS=$1
    write_edge_settings 0 0
    before=$(grep -c 'event=reload' "$DIR/edge0.log")
    kill -HUP "$EDGE0"
    tries=100
    while [ "$(grep -c 'event=reload' "$DIR/edge0.log")" = "$before" ] &&
        [ $tries -gt 0 ]; do
        sleep 0.1
        tries=$((tries - 1))
    done
    grep -c 'event=reload result=SKY_OK' "$DIR/edge0.log"
}

start_site 1 2 1
publish_config 1 ""
check "the host becomes ready" "$(until_status 200 50 readyz_status 0)" 200
check "without rules on keys: no key" "$(until_status 200 20 ask plain)" 200
check "without rules on keys: a field like any other" "$(ask field key-1)" 200
check "a reload tells of keys" "$(reload 'revokeStrict = true
revokeMs = 3000')" 1
check "with them: a key that no configuration holds" "$(ask odd key-1)" 401
check "with them: no key" "$(until_status 200 20 ask none)" 200
check "a reload takes the rules back" "$(reload 'revokeStrict = false
revokeMs = 3000')" 2
check "keys stay refused" "$(ask still key-1)" 401
check "only the field of before reached a target" \
    "$(state_field keys_at_targets) $(run_count odd)$(run_count still)" "1 "
[ "$failures" -eq 0 ] || tail -n 30 "$DIR"/edge0.log
[ "$failures" -eq 0 ]
