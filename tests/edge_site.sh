# Functions shared by the tests/proc_*.sh that run hosts on the users' platform
# against its fake; they source this file. They need BASE, DIR, BIN and FAKE.
PIDS=""
front_address() { echo "127.0.0.1:$((BASE + 100 + $1))"; }
ready_address() { echo "127.0.0.1:$((BASE + 120 + $1))"; }
control_url="http://127.0.0.1:$((BASE + 50))"

# write_edge_settings HOST STORE_PORT: the host reads the store at port
# BASE + STORE_PORT
write_edge_settings() {
    cat >"$DIR/edge$1.toml" <<END
nodeName = "edge$1"
zone = "z1"
beatIntervalMs = 250
seeds = ["127.0.0.1:$((BASE + 140))", "127.0.0.1:$((BASE + 141))"]
a_field_of_tomorrow = [1, 2]
[listen]
front = "$(front_address "$1")"
ready = "$(ready_address "$1")"
control = "127.0.0.1:$((BASE + 140 + $1))"
[limits]
memoryMb = 160
maxFds = 1024
[bounds]
drainMs = 2000
graceS = 8
configApplyMs = 2000
leaseMs = 1000
stableMs = 1000
retryBudgetRatio = 0.2
retryWindowS = 10
retrySlack = 300
fencingRequired = true
${EXTRA_BOUNDS:-}
[platform]
addr = "127.0.0.1:$((BASE + $2))"
parts = 8
ttlMinMs = 1000
END
}
# start_edge HOST: its process id is in EDGE<HOST>. If USE_LINKS is set, it
# reaches the targets by links of its own, see cut_host; if it is "hosts", the
# other hosts too.
start_edge() {
    last_linked_port=$((BASE + 49))
    [ "${USE_LINKS:-}" = hosts ] && last_linked_port=$((BASE + 149))
    SKY_TEST_LINKS="${USE_LINKS:+127.0.0.$((2 + $1)) $((BASE + 20)) $last_linked_port}" \
        "$BIN" edge "$DIR/edge$1.toml" >"$DIR/edge$1.log" 2>&1 &
    eval "EDGE$1=$!"
    PIDS="$PIDS $!"
}
# publish_config VERSION EXTRA_ROUTES [MAX_BODY_BYTES [TENANTS [IDLE_TIMEOUT_MS]]]
publish_config() {
    curl -fsS -m 5 -d "{\"version\":$1,\"routes\":[
      {\"name\":\"gen\",\"host\":\"a.example\",\"pathPrefix\":\"/gen/\",
       \"routeKind\":\"streaming\",\"timeoutMs\":5000,\"aimMs\":800,
       \"service\":\"llm\",\"maxAttempts\":3,\"resumable\":true},
      {\"name\":\"once\",\"host\":\"a.example\",\"pathPrefix\":\"/once/\",
       \"routeKind\":\"streaming\",\"timeoutMs\":5000,\"service\":\"llm\",
       \"maxAttempts\":1,\"resumable\":false},
      {\"name\":\"book\",\"host\":\"a.example\",\"pathPrefix\":\"/book/\",
       \"routeKind\":\"non_idempotent\",\"timeoutMs\":1500,
       \"service\":\"app\",\"maxAttempts\":1},
      {\"name\":\"look\",\"host\":\"a.example\",\"pathPrefix\":\"/look/\",
       \"routeKind\":\"idempotent\",\"timeoutMs\":1500,\"service\":\"app\",
       \"maxAttempts\":2}$2],
      \"services\":[{\"name\":\"llm\",\"healthPath\":\"/h\",\"maxConns\":300,
       \"engine\":{\"slots\":16,\"kvCapacity\":200000,\"weightsMb\":66000,
       \"adapterSlots\":4,\"loadsPerS\":3,\"models\":[{\"name\":\"m1\",
       \"weightsMb\":65000,\"loadS\":1,\"adapters\":100,\"adapterMb\":12}]}},
       {\"name\":\"app\",\"healthPath\":\"/h\",\"maxConns\":100}],
      \"limits\":{\"maxHeaderBytes\":8192,\"maxBodyBytes\":${3:-100000},
       \"headerTimeoutMs\":3000,\"idleTimeoutMs\":${5:-15000}}${4:+,\"tenants\":$4}}" \
        "$control_url/op?key=config" >/dev/null
}
# send_request HOST PATH ID [CURL_OPTION...]: prints the status; the body is in
# body.ID, the header in head.ID
send_request() {
    host=$1 path=$2 id=$3
    shift 3
    curl -sS -m 8 -o "$DIR/body.$id" -w '%{http_code}' \
        -H 'Host: a.example' -H "X-Skylarkspar-Attempt-Id: $id" \
        -H 'X-Skylarkspar-Deadline-Ms: 5000' -D "$DIR/head.$id" "$@" \
        "http://$(front_address "$host")$path" 2>/dev/null
}
# until_status STATUS TRIES COMMAND...: repeats the command each 0.2 s until it
# prints STATUS; prints what it printed last
until_status() {
    wanted=$1 tries=$2
    shift 2
    while [ "$tries" -gt 0 ]; do
        status=$("$@")
        [ "$status" = "$wanted" ] && break
        sleep 0.2
        tries=$((tries - 1))
    done
    echo "$status"
}
# readyz_status HOST
readyz_status() {
    curl -sS -m 2 -o /dev/null -w '%{http_code}' \
        "http://$(ready_address "$1")/readyz"
}
# state_map NAME: prints an object of the fake's state, a line for each member:
# "key":value
state_map() {
    curl -fsS -m 5 "$control_url/state" |
        sed "s/.*\"$1\": *{\([^}]*\)}.*/\1/" | tr ',' '\n'
}
# run_count ID: prints how often the request with this attempt id was run
run_count() { state_map runs | sed -n "s/.*\"$1\": *\([0-9]*\)$/\1/p"; }
# state_field NAME: prints a counter of the fake
state_field() { curl -fsS -m 5 "$control_url/state" | json_field "$1"; }
set_fault() { curl -fsS -m 5 -d "$1" "$control_url/fault" >/dev/null; }
# cut_host HOST STATE [SERVICE]: cuts a host off from the targets of a service,
# or of all: 0 not, 1 connections hang, 2 they are reset and new ones refused,
# 3 they live on and new ones are refused
cut_host() {
    curl -fsS -m 5 -d '' "$control_url/cut?n=$1&state=$2&service=${3:-}" \
        >/dev/null
}
# event_count ID: prints the number of events in a response
event_count() { grep -c '^data: ' "$DIR/body.$1" 2>/dev/null; }
# send_generation HOST PATH ADAPTER ID: prints the status
send_generation() {
    send_request "$1" "$2" "$4" -X POST -d prompt \
        -H "X-Skylarkspar-Model: m1/$3" -H 'X-Skylarkspar-Token-Count: 100,40'
}
# start_site ENGINES [PLAIN_TARGETS [HOSTS]]: starts the fake, with engines with
# 4 adapter slots, and hosts 0 to HOSTS - 1, of which there are 3
start_site() {
    "$FAKE" site "$BASE" 8 "$1" 4 "${2:-1}" >"$DIR/site.log" 2>&1 &
    PIDS="$PIDS $!"
    sleep 0.3
    for n in $(seq 0 $((${3:-3} - 1))); do
        write_edge_settings $n $n
        start_edge $n
    done
}
# late_sends NAME: prints whether the late sends of a crashing request, by its
# path or prompt part, stay within LATE_SENDS_MAX, else the counts of the fake
late_sends() {
    counts=$(curl -fsS -m 5 "$control_url/state" |
        sed -n "s|.*\"$1\": *\"\([^\"]*\)\".*|\1|p")
    late=$(echo "$counts" | sed -n 's/.*, \([0-9]*\) late/\1/p')
    if [ "${late:-99}" -le $LATE_SENDS_MAX ]; then
        echo within
    else
        echo "$counts"
    fi
}
# kill_hosts HOST...: kills the hosts at once, and returns when they are gone:
# until then their ports are in use
kill_hosts() {
    for n in "$@"; do
        eval "kill -KILL \$EDGE$n"
    done
    for n in "$@"; do
        eval "wait \$EDGE$n" 2>/dev/null
    done
}
# restart_hosts HOST...: kills the hosts at once and starts them again
restart_hosts() {
    kill_hosts "$@"
    for n in "$@"; do
        start_edge "$n"
    done
    for n in "$@"; do
        until_status 200 60 readyz_status "$n" >/dev/null
    done
}
