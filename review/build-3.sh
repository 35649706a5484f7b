#!/bin/sh
# Builds what the scripts of review/11 and later start, beside the build of the
# deploy file: the project's fake of the store, and the stand-ins of the cases.
set -eu
cd "$(dirname "$0")/.."
make -s -j8 BUILD=target target/skyfake
for stand_in in 11/offices 12/last_tenant 13/adapters; do
    gcc -O2 -g -Wall -Wextra -Werror -std=gnu11 -D_GNU_SOURCE \
        -o "target/review_$(echo $stand_in | tr / _)" \
        "review/$stand_in.c" tests/rig/rig_http.c -lpthread -ljansson
done
