# Functions shared by tests/alone_*.sh, which source this file after
# tests/edge_site.sh: one host, whose settings limit memory and descriptors, and
# crowds of slow or hostile clients (tests/fakes/crowd.c) at its addresses.
# memoryMb in the settings of the tests
MEMORY_MAX_KB=$((160 * 1024))
# maxFds in the settings of the tests, less 200 for files
FDS_MAX=824
# start_crowd_site ENGINES: a host with all four addresses, ready to serve
start_crowd_site() {
    "$FAKE" site "$BASE" 8 "$1" 4 1 >"$DIR/site.log" 2>&1 &
    PIDS="$PIDS $!"
    # The fake listens at its control port last.
    until_status 200 50 fake_status >/dev/null
    write_edge_settings 0 0
    {
        echo "ip = \"127.0.0.1\""
        echo "internalPorts = [$((BASE + 160))]"
        cat "$DIR/edge0.toml"
    } >"$DIR/settings"
    mv "$DIR/settings" "$DIR/edge0.toml"
    start_edge 0
    publish_config 7 "" 4194304
    check "the host becomes ready" "$(until_status 200 50 readyz_status 0)" 200
    check "an ordinary request" "$(until_status 200 25 ordinary)" 200
}
fake_status() {
    curl -sS -m 2 -o /dev/null -w '%{http_code}' "$control_url/state" 2>/dev/null
}
# crowd_address front|ready|metrics|hosts
crowd_address() {
    case $1 in
    front) front_address 0 ;;
    ready) ready_address 0 ;;
    metrics) echo "127.0.0.1:$((BASE + 160))" ;;
    hosts) echo "127.0.0.1:$((BASE + 140))" ;;
    esac
}
ordinary() {
    send_request 0 /look/1 "ordinary$(date +%s%N)" -m 3
}
# The peak is counted anew for each crowd, so that each check has its own
# figure.
reset_peak() { echo 5 >"/proc/$EDGE0/clear_refs"; }
status_kb() { # FIELD
    sed -n "s/^$1:[^0-9]*\([0-9]*\).*/\1/p" "/proc/$EDGE0/status"
}
open_fds() { find "/proc/$EDGE0/fd" -mindepth 1 2>/dev/null | wc -l; }
# crowd ADDRESS_NAME KIND CONNECTIONS HOLD_MS [PATH [BODY_BYTES]]: checks that
# memory and descriptors stay within their bounds during and after the crowd,
# that all addresses still serve, and that an ordinary request does
crowd() {
    where=$1
    shift
    reset_peak
    "$FAKE" crowd "$(crowd_address "$where")" "$@" >"$DIR/crowd.out" 2>&1 &
    crowd_pid=$!
    fds=0
    while kill -0 $crowd_pid 2>/dev/null; do
        now_open=$(open_fds)
        [ "$now_open" -gt $fds ] && fds=$now_open
        sleep 0.1
    done
    wait $crowd_pid
    name="$where: $2 $1 ${4:-}"
    echo "$name: $(cat "$DIR/crowd.out"), $(status_kb VmHWM) kB, $fds fds"
    check "$name: memory" "$(within "$(status_kb VmHWM)" $MEMORY_MAX_KB)" within
    check "$name: descriptors" "$(within "$fds" $FDS_MAX)" within
    check "$name: ordinary request after" "$(until_status 200 40 ordinary)" 200
    check "$name: ready after" "$(until_status 200 10 readyz_status 0)" 200
}
within() { # VALUE MAX
    if [ "${1:-999999999}" -le "$2" ]; then echo within; else echo "${1:-gone}"; fi
}
# closed_count: prints how many of the last crowd's connections were closed
closed_count() { sed -n 's/.*closed \([0-9]*\).*/\1/p' "$DIR/crowd.out"; }
# refused_count REASON: prints the host's counter of refused clients
refused_count() {
    curl -sS -m 2 "http://$(ready_address 0)/metrics" |
        sed -n "s/^sky_clients_refused_total{reason=\"$1\"} //p"
}
report_crowds() {
    [ "$failures" -eq 0 ] || tail -n 30 "$DIR/edge0.log"
    [ "$failures" -eq 0 ]
}
