#!/bin/sh
# Guards against a reload (SIGHUP) that ends a host whose settings file was named
# as an argument, against one that takes a part of a file that is cut, and against
# signals that end a host as it starts, or are lost. One host on the users'
# platform, one with its own interface.
set -u
BASE=${BASE:-20800}
DIR=$(mktemp -d)
: "${BIN:=build/skylarkspar-check}" "${FAKE:=build/skyfake}"
trap 'kill -KILL $PIDS 2>/dev/null; rm -rf "$DIR"' EXIT
. tests/proc_check.sh
. scripts/cluster.sh
. tests/edge_site.sh

# reload FILE: puts the file in place, sends SIGHUP, and prints what the log says
reload() {
    before=$(grep -c 'event=reload' "$DIR/edge0.log")
    if [ -n "$1" ]; then cp "$1" "$DIR/edge0.toml"; else rm "$DIR/edge0.toml"; fi
    kill -HUP "$EDGE0"
    tries=50
    while [ "$(grep -c 'event=reload' "$DIR/edge0.log")" = "$before" ] &&
        [ $tries -gt 0 ]; do
        sleep 0.1
        tries=$((tries - 1))
    done
    sed -n 's/.*event=reload \(.*\)/\1/p' "$DIR/edge0.log" | tail -n 1
}
# refused FILE PLACE: prints "refused" if the reload is, with the place
refused() {
    said=$(reload "$1")
    case $said in
    result=SKY_E_SETTINGS*"$2"*) echo refused ;;
    *) echo "$said" ;;
    esac
}
# start_with SIGNAL: starts the host, with the signal waiting for it
start_with() {
    # shellcheck disable=SC2016  # the inner shell expands these
    env --block-signal="$1" sh -c 'kill -"$0" $$; exec "$1" edge "$2"' \
        "$1" "$BIN" "$DIR/edge0.toml" >"$DIR/edge0.log" 2>&1 &
    EDGE0=$!
    PIDS="$PIDS $EDGE0"
}
is_running() { kill -0 "$1" 2>/dev/null && echo running; }

start_site 1 1 1
publish_config 7 ""
check "the host becomes ready" "$(until_status 200 50 readyz_status 0)" 200
cp "$DIR/edge0.toml" "$DIR/whole.toml"
check "a reload of the file that the start took" "$(reload "$DIR/whole.toml")" \
    'result=SKY_OK error=""'
lines=$(wc -l <"$DIR/whole.toml")
for kept in $(seq 1 $((lines - 1))); do
    head -n "$kept" "$DIR/whole.toml" >"$DIR/cut.toml"
    result=$(refused "$DIR/cut.toml" edge0.toml)
    [ "$result" = refused ] || check "a file cut after line $kept" "$result" refused
done
sed '/leaseMs/d' "$DIR/whole.toml" >"$DIR/bad.toml"
check "a field that is gone is named" \
    "$(refused "$DIR/bad.toml" "bounds.leaseMs is missing")" refused
sed 's/leaseMs = .*/leaseMs = "soon"/' "$DIR/whole.toml" >"$DIR/bad.toml"
check "a field of another type is named" \
    "$(refused "$DIR/bad.toml" "bounds.leaseMs has another type")" refused
: >"$DIR/bad.toml"
check "an empty file" "$(refused "$DIR/bad.toml" "is missing")" refused
echo 'a = = 1' >"$DIR/bad.toml"
check "a file that is no TOML" "$(refused "$DIR/bad.toml" "edge0.toml")" refused
check "a missing file" "$(refused "" "edge0.toml")" refused
sed 's/leaseMs = .*/leaseMs = 1200/' "$DIR/whole.toml" >"$DIR/other.toml"
check "a whole file with another value" "$(reload "$DIR/other.toml")" \
    'result=SKY_OK error=""'
check "the host serves" "$(until_status 200 20 send_request 0 /look/1 a)" 200
kill -TERM "$EDGE0"
wait "$EDGE0"
check "it stops" $? 0

# Signals that come as a process starts, from its first moment on.
cp "$DIR/whole.toml" "$DIR/edge0.toml"
start_with HUP
check "a host that gets SIGHUP as it starts becomes ready" \
    "$(until_status 200 50 readyz_status 0)" 200
sleep 1 # until the log is written
check "and reloads" "$(grep -c 'event=reload result=SKY_OK' "$DIR/edge0.log")" 1
kill -KILL "$EDGE0"
wait "$EDGE0" 2>/dev/null
start_with TERM
wait "$EDGE0"
check "a host that gets SIGTERM as it starts stops as usual" \
    "$? $(grep -c 'event=stopping' "$DIR/edge0.log")" "0 1"

PLATFORM_ADDRESS=127.0.0.1:$((BASE + 55)) BASE=$((BASE + 55))
start_platform
start_service
write_host_settings 1 0 4 16 false
start_host 1
wait_host_ready 1
kill -HUP "$HOST1"
sleep 1
check "a host with its own interface goes on" "$(is_running "$HOST1")" running
check "and says that it does not reload" \
    "$(grep -c 'event=reload result=ignored' "$DIR/host1.log")" 1
kill -TERM "$HOST1"
wait "$HOST1"
check "and stops" $? 0
[ "$failures" -eq 0 ] || tail -n 30 "$DIR"/edge*.log "$DIR"/host*.log
[ "$failures" -eq 0 ]
