#!/bin/sh
# Streams with the same body that hang at several engines for a host that is cut
# off were quarantined as if they crashed engines, and waited for their deadline.
BASE=20600
export BASE
ADAPTERS=3 exec sh tests/proc_cut_streams.sh
