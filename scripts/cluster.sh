# Functions that start and stop fakes and hosts on 127.0.0.1, sourced by
# scripts and tests. They need BIN (program of the host), FAKE (skyfake) and
# DIR (folder for settings and logs).
# Ports: platform $BASE, engines +1.., service +20, hosts +30.. for callers and
# +60.. for other hosts.

BASE=${BASE:-21000}
PLATFORM_ADDRESS=127.0.0.1:$BASE
PIDS=""
export SKYLARKSPAR_KEY=operators-key-for-tests

# start_platform [RETENTION_MS APPENDS_PER_S LOADS_PER_S PARALLEL_READS
#     TRANSIT]
start_platform() {
    "$FAKE" platform "$PLATFORM_ADDRESS" "${1:-600000}" "${2:-300}" \
        "${3:-3}" "${4:-2}" "${5:-16}" 2>>"$DIR/platform.log" &
    PIDS="$PIDS $!"
}

# start_engine NUMBER SLOTS BATCH CHECKS_FENCING TOKEN_MS: its process id is in
# ENGINE<NUMBER>
start_engine() {
    "$FAKE" engine "127.0.0.1:$((BASE + $1))" "$2" "$3" "$4" "$5" 1 \
        2>>"$DIR/engine$1.log" &
    eval "ENGINE$1=$!"
    PIDS="$PIDS $!"
}

start_service() {
    "$FAKE" service "127.0.0.1:$((BASE + 20))" 2>>"$DIR/service.log" &
    PIDS="$PIDS $!"
}

# write_host_settings NUMBER ENGINES SLOTS BATCH CHECKS_FENCING: for host
# NUMBER, with engines 1 to ENGINES as its targets
write_host_settings() {
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
log = "$PLATFORM_ADDRESS"
hosts = "$PLATFORM_ADDRESS"
store = "$PLATFORM_ADDRESS"
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

# start_host NUMBER: its process id is in HOST<NUMBER>
start_host() {
    "$BIN" serve "$DIR/host$1.toml" 2>>"$DIR/host$1.log" &
    eval "HOST$1=$!"
    PIDS="$PIDS $!"
}

# host_address NUMBER
host_address() {
    echo "127.0.0.1:$((BASE + 30 + $1))"
}

# wait_host_ready NUMBER [TRIES]: asks each 0.1 s
wait_host_ready() {
    tries=${2:-150}
    while [ "$tries" -gt 0 ]; do
        curl -fs "http://$(host_address "$1")/readyz" >/dev/null && return 0
        sleep 0.1
        tries=$((tries - 1))
    done
    echo "host$1 did not become ready in time" >&2
    return 1
}

# write_documents ADAPTERS: a template, and a workspace with that many adapters
write_documents() {
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

# publish_documents HOST ADAPTERS
publish_documents() {
    write_documents "$2"
    "$BIN" publish -H "$(host_address "$1")" template opening \
        "$DIR/template.toml" &&
        "$BIN" publish -H "$(host_address "$1")" workspace guild \
            "$DIR/workspace.toml"
}

# wait_workspace_in_force HOST...: waits until each of them knows the workspace
wait_workspace_in_force() {
    for number in "$@"; do
        tries=100
        until "$BIN" show -H "$(host_address "$number")" workspace guild \
            >/dev/null 2>&1; do
            tries=$((tries - 1))
            if [ "$tries" -eq 0 ]; then
                echo "host$number: the workspace is not in force yet" >&2
                return 1
            fi
            sleep 0.1
        done
    done
}

# request_completion HOST MODEL PROMPT [CURL_OPTION...]: prints the response
request_completion() {
    host=$1 model=$2 prompt=$3
    shift 3
    curl -sS -m 40 "$@" -H "Authorization: Bearer guild-secret" \
        -d "{\"model\": \"$model\", \"prompt\": \"$prompt\"}" \
        "http://$(host_address "$host")/v1/completions"
}

# stop_processes: ends each process that was started here, by its id. Those
# that have not ended after 12 s are killed. SIGCONT comes first, as a stopped
# process does not handle SIGTERM.
stop_processes() {
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
