#!/bin/sh
# Measures, on loopback, the time to first token with and without a host in the
# path, and the CPU time and memory of a host that serves 500 streams.
# usage: measure-path.sh BUILD
set -eu
BIN=$1/skylarkspar
FAKE=$1/skyfake
LOAD=$1/bench/load
BASE=${BASE:-23000}
DIR=$(mktemp -d)
. scripts/cluster.sh
trap 'stop_processes; rm -rf "$DIR"' EXIT
start_platform
for n in 1 2 3; do start_engine $n 4 600 0 37; done
start_service
for n in 1 2 3; do
    write_host_settings $n 3 4 600 false
    start_host $n
done
for n in 1 2 3; do wait_host_ready $n; done
publish_documents 1 3
sleep 3
for n in 1 2 3; do
    request_completion 1 "notes$n@3" warm >/dev/null
done
owner=$("$BIN" status -H "$(host_address 1)" |
    sed -n 's/^shard 0: owner host\([0-9]*\),.*/\1/p')
other=$((owner % 3 + 1))
engine=$("$BIN" status -H "$(host_address "$owner")" |
    sed -n 's/^ *engine\([0-9]*\) .*notes1@3.*/\1/p' | head -n 1)
echo "owner host$owner, adapter notes1 on engine$engine"
for round in 1 2; do
    "$LOAD" -l "engine directly" -a "127.0.0.1:$((BASE + engine))" \
        -m notes1@3 -c 4 -n 400 -t 1
    "$LOAD" -l "entry host is owner" -a "$(host_address "$owner")" \
        -m notes1@3 -s guild-secret -c 4 -n 400 -t 1
    "$LOAD" -l "entry host is another" -a "$(host_address "$other")" \
        -m notes1@3 -s guild-secret -c 4 -n 400 -t 1
done
eval "pid=\$HOST$other"
cpu_ticks() { awk '{print $14 + $15}' "/proc/$pid/stat"; }
ticks_before=$(cpu_ticks)
started_s=$(date +%s.%N)
"$LOAD" -l "500 streams, one host" -a "$(host_address "$other")" -m notes1@3 \
    -s guild-secret -c 500 -n 500 -t 400 &
load_pid=$!
sleep 8
grep -E '^(VmRSS|VmHWM|Threads)' "/proc/$pid/status"
wait $load_pid
ticks_after=$(cpu_ticks)
ended_s=$(date +%s.%N)
awk -v t=$((ticks_after - ticks_before)) -v a="$started_s" \
    -v b="$ended_s" 'BEGIN {
    printf "CPU time of the host: %.2f s in %.1f s (%.1f%% of a core)\n",
        t / 100, b - a, t / (b - a) }'
