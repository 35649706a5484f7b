#!/bin/sh
# CONFIG (revokeStrict): requests whose key was taken away run once the last
# tenant is gone. TROUBLE=0: the last tenant stays.
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
EXTRA_BOUNDS="revokeStrict = true
revokeMs = 5000"
. review/hosts.sh
start_store || exit 2
start_host 0
start_host 1
target/review_12_last_tenant "$BASE" "${TROUBLE:-1}" >review/12/record.txt 2>&1
code=$?
tail -n 3 review/12/record.txt
exit $code
