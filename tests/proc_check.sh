# Functions shared by tests/proc_*.sh, which source this file. fake_stat and
# set_fake_fault need BASE; the functions that talk to hosts and
# stop_and_report need scripts/cluster.sh.
failures=0
started_s=$(date +%s)
check() { # description actual wanted: prints and counts a difference
    if [ "$2" = "$3" ]; then
        echo "ok: $1 ($(($(date +%s) - started_s)) s)"
    else
        echo "FAILED: $1: got '$2', wanted '$3'"
        failures=$((failures + 1))
    fi
}
# json_field NAME: prints the string or number with this name in the JSON text
# on standard input
json_field() {
    sed -n "s/.*\"$1\": *\"\{0,1\}\([^\",}]*\).*/\1/p" | head -n 1
}
# set_fake_fault PORT_OFFSET JSON: sets fault switches of a fake
set_fake_fault() {
    curl -fsS -m 5 -d "$2" "http://127.0.0.1:$((BASE + $1))/fault" >/dev/null
}
# fake_stat PORT_OFFSET FIELD: prints a counter of a fake
fake_stat() {
    curl -fsS -m 5 "http://127.0.0.1:$((BASE + $1))/stats" | json_field "$2"
}
# invariant_breaches HOST...: prints the sum of their breach counters
invariant_breaches() {
    for n in "$@"; do
        curl -fsS -m 5 "http://$(host_address "$n")/metrics"
    done | awk '/^sky_invariant_breaches_total/ {sum += $2} END {print sum + 0}'
}
# result_code BODY: prints SKY_OK or the error code of a response
result_code() {
    case "$1" in
    *'"error"'*) printf '%s' "$1" | json_field code ;;
    *'"choices"'* | *'"run"'*) echo SKY_OK ;;
    *) echo "no answer" ;;
    esac
}
# retry_until_ok HOST MODEL PROMPT TRIES: repeats a completion request each
# 0.5 s until it succeeds; prints the last result code
retry_until_ok() {
    tries=$4
    while [ "$tries" -gt 0 ]; do
        response=$(request_completion "$1" "$2" "$3" 2>/dev/null || true)
        [ "$(result_code "$response")" = SKY_OK ] && break
        sleep 0.5
        tries=$((tries - 1))
    done
    result_code "$response"
}
# shard_owner HOST: prints the number of the owner of shard 0, as HOST sees it
shard_owner() {
    "$BIN" status -H "$(host_address "$1")" |
        sed -n 's/^shard 0: owner host\([0-9]*\),.*/\1/p'
}
# stop_and_report: stops all processes and shows the logs of the hosts if a
# check failed; the exit code is that of the test
stop_and_report() {
    stop_processes
    if [ "$failures" -gt 0 ]; then
        tail -n 15 "$DIR"/host*.log
    fi
    rm -rf "$DIR"
    [ "$failures" -eq 0 ]
}
