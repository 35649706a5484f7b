#!/bin/sh
# Demonstrates the system with fakes: starts three hosts, publishes a template
# and a workspace, sends requests and stops the hosts.
# usage: demo.sh BUILD
set -eu
BIN=./skylarkspar
FAKE=$1/skyfake
DIR=$(mktemp -d)
. scripts/cluster.sh
trap 'stop_processes; rm -rf "$DIR"' EXIT

echo "== starting the platform, 3 engines, a plain service and 3 hosts"
start_platform
for n in 1 2 3; do start_engine $n 4 16 0 10; done
start_service
for n in 1 2 3; do
    write_host_settings $n 3 4 16 false
    "$BIN" check "$DIR/host$n.toml"
    start_host $n
done
for n in 1 2 3; do wait_host_ready $n; done

echo "== publishing a template and a workspace with 6 adapters"
publish_documents 1 6
wait_workspace_in_force 1 2 3

echo "== requests for several adapters through different hosts"
for n in 1 2 3 4 5 6; do
    host=$((n % 3 + 1))
    printf 'host%d notes%d: ' $host $n
    request_completion $host "notes$n" "quote for pressing $n"
    echo
done
echo "== a streamed completion"
curl -sSN -m 20 -H "Authorization: Bearer guild-secret" \
    -d '{"model": "notes1@3", "prompt": "TOKENS 3", "stream": true}' \
    "http://$(host_address 2)/v1/completions"
echo "== a non-idempotent request, sent twice with one idempotency key"
key="$(date +%s).booking-17"
for host in 1 2; do
    curl -sS -m 20 -H "Authorization: Bearer guild-secret" \
        -H "Idempotency-Key: $key" -d 'book slot 17' \
        "http://$(host_address $host)/svc/ledger/book"
    echo
done
echo "== load stalls by workspace and status at host 2, counters at host 1"
"$BIN" status -H "$(host_address 2)" --histogram load_stall
"$BIN" status -H "$(host_address 2)"
curl -sS "http://$(host_address 1)/metrics" |
    grep -E '^sky_(loads|grants|requests|dispatches|takeovers)_total'
echo "== stopping the hosts one after the other"
for n in 1 2 3; do
    eval "pid=\$HOST$n"
    kill "$pid"
    wait "$pid"
    echo "host$n: exit code $?"
done
echo "== done"
