#!/bin/sh
# Builds what the scripts of review/6 and later start, beside the build of the
# deploy file: the project's fake platform and the stand-ins of the cases.
set -eu
cd "$(dirname "$0")/.."
make -s -j8 BUILD=target target/skyfake
gcc -O2 -g -Wall -Wextra -std=gnu11 -D_GNU_SOURCE -o target/outage_load \
    review/6/outage_load.c
for stand_in in 7/large_error 8/board; do
    gcc -O2 -g -Wall -Wextra -Werror -std=gnu11 -D_GNU_SOURCE \
        -o "target/review_$(echo $stand_in | tr / _)" \
        "review/$stand_in.c" tests/rig/rig_http.c -lpthread
done
