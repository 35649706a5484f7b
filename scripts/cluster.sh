# Shell functions that start and stop stand-ins and hosts on loopback.
# Sourced by demo.sh and by tests. Needs: BIN, FAKE, DIR.
# Layout: platform 127.0.0.1:$BASE, engines +1.., service +20, hosts +30..

BASE=${BASE:-21000}
LOG=127.0.0.1:$BASE
PIDS=""
export SKYLARKSPAR_KEY=operators-key-for-tests

start_platform() { # retention_ms appends_per_s loads_per_s lanes transit
    "$FAKE" platform "$LOG" "${1:-600000}" "${2:-300}" "${3:-3}" "${4:-2}" \
        "${5:-16}" 2>>"$DIR/platform.log" &
    PIDS="$PIDS $!"
}

start_engine() { # number slots batch checks_fencing token_ms
    "$FAKE" engine "127.0.0.1:$((BASE + $1))" "$2" "$3" "$4" "$5" 1 \
        2>>"$DIR/engine$1.log" &
    eval "ENGINE$1=$!"
    PIDS="$PIDS $!"
}

start_service() {
    "$FAKE" service "127.0.0.1:$((BASE + 20))" 2>>"$DIR/service.log" &
    PIDS="$PIDS $!"
}

# write_settings NUMBER ENGINES SLOTS BATCH CHECKS_FENCING [EXTRA]
write_settings() {
    cat >"$DIR/host$1.toml" <<EOF
[host]
name = "host$1"
listen = "127.0.0.1:$((BASE + 30 + $1))"
peer = "127.0.0.1:$((BASE + 60 + $1))"
domain = $(($1 % 3))
balancer_wait_ms = ${BALANCER_WAIT_MS:-300}
[keys]
peer = "key-between-hosts-for-tests"
operator = "$SKYLARKSPAR_KEY"
[platform]
log = "$LOG"
hosts = "$LOG"
store = "$LOG"
log_poll_ms = ${LOG_POLL_MS:-200}
hosts_poll_ms = 500
retention_ms = ${RETENTION_MS:-600000}
[lease]
lease_ms = ${LEASE_MS:-1000}
margin_ms = 1000
[placement]
load_ms = 900
report_ms = 300
[requests]
key_life_ms = ${KEY_LIFE_MS:-300000}
EOF
    number=1
    while [ "$number" -le "$2" ]; do
        cat >>"$DIR/host$1.toml" <<EOF
[[target]]
name = "engine$number"
address = "127.0.0.1:$((BASE + number))"
pool = "desk"
domain = $((number % 3))
slots = $3
batch = $4
checks_fencing = $5
EOF
        number=$((number + 1))
    done
    cat >>"$DIR/host$1.toml" <<EOF
[[target]]
name = "ledger"
address = "127.0.0.1:$((BASE + 20))"
pool = "ledger"
batch = 16
EOF
}

start_host() { # number
    "$BIN" serve "$DIR/host$1.toml" 2>>"$DIR/host$1.log" &
    eval "HOST$1=$!"
    PIDS="$PIDS $!"
}

host_address() {
    echo "127.0.0.1:$((BASE + 30 + $1))"
}

wait_ready() { # number [tries]
    tries=${2:-150}
    while [ "$tries" -gt 0 ]; do
        curl -fs "http://$(host_address "$1")/readyz" >/dev/null && return 0
        sleep 0.1
        tries=$((tries - 1))
    done
    echo "host$1 did not become ready" >&2
    return 1
}

write_documents() { # adapters
    cat >"$DIR/template.toml" <<EOF
pool = "desk"
urgency = 6
prewarm_s = 60
hold_s = 120
EOF
    cat >"$DIR/workspace.toml" <<EOF
template = "opening"
secret = "guild-secret"
[parameters]
urgency = 7
EOF
    number=1
    while [ "$number" -le "$1" ]; do
        printf '[[adapters]]\nname = "notes%d"\nversion = "3"\n' "$number" \
            >>"$DIR/workspace.toml"
        number=$((number + 1))
    done
}

publish_documents() { # host adapters
    write_documents "$2"
    "$BIN" publish -H "$(host_address "$1")" template opening \
        "$DIR/template.toml" &&
        "$BIN" publish -H "$(host_address "$1")" workspace guild \
            "$DIR/workspace.toml"
}

# wait_in_force HOST...: until the workspace is in force on each of them
wait_in_force() {
    for number in "$@"; do
        tries=100
        until "$BIN" show -H "$(host_address "$number")" workspace guild \
            >/dev/null 2>&1; do
            tries=$((tries - 1))
            if [ "$tries" -eq 0 ]; then
                echo "host$number: the workspace is not in force" >&2
                return 1
            fi
            sleep 0.1
        done
    done
}

# complete HOST MODEL PROMPT [curl options]
complete() {
    host=$1 model=$2 prompt=$3
    shift 3
    curl -sS -m 40 "$@" -H "Authorization: Bearer guild-secret" \
        -d "{\"model\": \"$model\", \"prompt\": \"$prompt\"}" \
        "http://$(host_address "$host")/v1/completions"
}

# stop_all: ends each process this script started, by pid, in bounded time
stop_all() {
    for pid in $PIDS; do
        kill -CONT "$pid" 2>/dev/null || true
        kill "$pid" 2>/dev/null || true
    done
    tries=120
    while [ "$tries" -gt 0 ]; do
        left=""
        for pid in $PIDS; do
            if kill -0 "$pid" 2>/dev/null; then
                left="$left $pid"
            fi
        done
        if [ -z "$left" ]; then
            break
        fi
        sleep 0.1
        tries=$((tries - 1))
    done
    for pid in $left; do
        kill -9 "$pid" 2>/dev/null || true
    done
    PIDS=""
}
