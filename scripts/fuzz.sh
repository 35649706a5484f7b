#!/bin/sh
# Runs each fuzz target with a fixed number of inputs from a fixed seed.
# usage: fuzz.sh [INPUTS]
set -eu
inputs=${1:-50000}
mkdir -p build/fuzz
packages="neon jansson libsodium libtirpc"
sources="lib/core/result.c lib/decide/types.c lib/decide/document.c
lib/peer/codec.c lib/platform/record_json.c lib/core/logging.c lib/core/clock.c
lib/net/buffer.c lib/net/http_lines.c lib/net/http_reader.c lib/net/event_stream.c lib/net/socket.c
lib/decide/deployment.c lib/decide/workspaces.c lib/decide/target_entry.c platform/json.c
platform/documents.c platform/wire.c"
for file in tests/fuzz/fuzz_*.c; do
    name=$(basename "$file" .c)
    clang -std=gnu11 -O1 -g -fsanitize=fuzzer,address,undefined -D_GNU_SOURCE \
        -Ilib -I. $(pkg-config --cflags $packages) "$file" $sources \
        $(pkg-config --libs $packages) -lhttp_parser -lxxhash -o "build/fuzz/$name"
    rm -rf "build/fuzz/corpus"
    mkdir "build/fuzz/corpus"
    [ -d "tests/fuzz/seeds/$name" ] &&
        cp "tests/fuzz/seeds/$name"/* "build/fuzz/corpus"
    "build/fuzz/$name" -runs="$inputs" -seed=1 -max_len=4096 \
        -print_final_stats=0 build/fuzz/corpus >"build/fuzz/$name.log" 2>&1 || {
        tail -n 30 "build/fuzz/$name.log"
        exit 1
    }
    echo "fuzz: $name, $inputs inputs, none failed"
done
