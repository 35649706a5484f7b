#!/bin/sh
# Builds what the scripts of review/6 and later start, beside the build of the
# deploy file: the project's fake platform and the stand-ins of the cases.
set -eu
cd "$(dirname "$0")/.."
make -s -j8 BUILD=target target/skyfake
gcc -O2 -g -Wall -Wextra -std=gnu11 -D_GNU_SOURCE -o target/outage_load \
    review/6/outage_load.c
