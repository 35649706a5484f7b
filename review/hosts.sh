# Shell functions of the scripts of review/11 and later, which source this file:
# a free range of ports in BASE, a temporary folder in DIR, the fake store and
# hosts. All processes that they start end with the script.
BASE=0
DIR=$(mktemp -d) || exit 2
PIDS=""
# Ends the processes that were started here.
end_all() {
    for pid in $PIDS; do
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
    done
    rm -rf "$DIR"
}
trap end_all EXIT
trap 'exit 2' INT TERM
# is_used PORT: whether a socket has it, in any state
is_used() {
    grep -qi ":$(printf '%04x' "$1") " /proc/net/tcp
}
# Finds 200 ports of which those that are used here are free.
choose_base() {
    slot=$(($$ % 35))
    tries=0
    while [ $tries -lt 35 ]; do
        BASE=$((11000 + 200 * slot))
        used=0
        for offset in 0 1 2 3 4 5 6 7 50 60 61 62 63 64 65 66 67 40 100 101 102 120 121 122 \
            140 141 142; do
            is_used $((BASE + offset)) && used=1
        done
        [ $used -eq 0 ] && return 0
        slot=$(((slot + 1) % 35))
        tries=$((tries + 1))
    done
    return 1
}
# start_store [COUNT]: starts the fake of the platform's store, with that many
# workers of its own service "app"
start_store() {
    choose_base || return 1
    target/skyfake site "$BASE" 8 0 4 "${1:-0}" >"$DIR/site.log" 2>&1 &
    PIDS="$PIDS $!"
}
# start_host NUMBER: its process id is in HOST<NUMBER>
start_host() {
    cat >"$DIR/edge$1.toml" <<END
nodeName = "edge-z1-$1"
role = "edge"
zone = "z1"
region = "r1"
beatIntervalMs = 1200
seeds = ["127.0.0.1:$((BASE + 140))", "127.0.0.1:$((BASE + 141))"]
${SETTINGS_HEAD:-}
[listen]
front = "127.0.0.1:$((BASE + 100 + $1))"
ready = "127.0.0.1:$((BASE + 120 + $1))"
control = "127.0.0.1:$((BASE + 140 + $1))"
[limits]
cpuShare = 0.25
memoryMb = 260
maxFds = 4100
[bounds]
seedLagS = 3
addrReuseS = 2
stableMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
downgradeSlackMs = 250
outerMs = 5000
retryBudgetRatio = 0.2
retryWindowS = 10
retrySlack = 56
recoverS = 12
passMs = 120
fencingRequired = true
leaseMs = 3000
thawMs = 300
ceilingWindowS = 5
ceilingOvershoot = 1.1
version_ms = 5000
${EXTRA_BOUNDS:-}
[platform]
addr = "127.0.0.1:$((BASE + $1))"
form = "log"
writesPerS = 400
readsPerS = 2000
parts = 8
appendMs = 4.0
ttlMinMs = 1000
END
    target/skylarkspar edge "$DIR/edge$1.toml" >"$DIR/edge$1.log" 2>&1 &
    eval "HOST$1=$!"
    PIDS="$PIDS $!"
}
