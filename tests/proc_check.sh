# Checks shared by the tests with processes; sourced after cluster.sh.
failures=0
STARTED=$(date +%s)
check() { # description, actual, wanted
    if [ "$2" = "$3" ]; then
        echo "ok: $1 ($(($(date +%s) - STARTED)) s)"
    else
        echo "FAILED: $1: got '$2', wanted '$3'"
        failures=$((failures + 1))
    fi
}
field() { # json-field: from standard input, a string or a number
    sed -n "s/.*\"$1\": *\"\{0,1\}\([^\",}]*\).*/\1/p" | head -n 1
}
fault() { # port-offset json
    curl -fsS -m 5 -d "$2" "http://127.0.0.1:$((BASE + $1))/fault" >/dev/null
}
stat_of() { # port-offset field
    curl -fsS -m 5 "http://127.0.0.1:$((BASE + $1))/stats" | field "$2"
}
breaches() { # sum over the hosts given
    for n in "$@"; do
        curl -fsS -m 5 "http://$(host_address "$n")/metrics"
    done | awk '/^sky_invariant_breaches_total/ {sum += $2} END {print sum + 0}'
}
code_of() { # answer: SKY_OK or the code of the error
    case "$1" in
    *'"error"'*) printf '%s' "$1" | field code ;;
    *'"choices"'* | *'"run"'*) echo SKY_OK ;;
    *) echo "no answer" ;;
    esac
}
# until_ok HOST MODEL PROMPT TRIES: as a caller that comes back when told to
until_ok() {
    tries=$4
    while [ "$tries" -gt 0 ]; do
        answer=$(complete "$1" "$2" "$3" 2>/dev/null || true)
        [ "$(code_of "$answer")" = SKY_OK ] && break
        sleep 0.5
        tries=$((tries - 1))
    done
    code_of "$answer"
}
owner_of() { # host to ask
    "$BIN" status -H "$(host_address "$1")" |
        sed -n 's/^shard 0: owner host\([0-9]*\),.*/\1/p'
}
finish() {
    stop_all
    if [ "$failures" -gt 0 ]; then
        tail -n 15 "$DIR"/host*.log
    fi
    rm -rf "$DIR"
    [ "$failures" -eq 0 ]
}
