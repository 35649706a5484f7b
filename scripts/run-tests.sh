#!/bin/sh
# Runs the test programs given and tests/proc_*.sh; the last line has the counts.
# The commands in KNOWN-RED.txt are run and printed, but not counted.
# PROC_TESTS: 1 (default): all of tests/proc_*.sh; 0: none; else names to run.
# usage: run-tests.sh BUILD PROGRAM...
set -u
build=$1
shift
passed=0
failed=0
record_result() { # name exit-code
    if [ "$2" -eq 0 ]; then
        passed=$((passed + 1))
        echo "ok   $1"
    else
        failed=$((failed + 1))
        echo "FAIL $1"
    fi
}
logs=$(mktemp -d)
trap 'rm -rf "$logs"' EXIT
for program in "$@"; do
    name=$(basename "$program")
    "$program" --gtest_brief=1 >"$logs/$name" 2>&1
    code=$?
    [ $code -eq 0 ] || tail -n 40 "$logs/$name"
    record_result "$name" $code
done
if [ "${PROC_TESTS:-1}" != 0 ]; then
    for script in tests/proc_answers.sh tests/proc_faults.sh tests/proc_edge.sh \
        tests/proc_brittle.sh \
        tests/proc_crashes.sh tests/proc_crash_waves.sh \
        tests/proc_cut_hosts.sh tests/proc_cut_streams.sh \
        tests/proc_endless_response.sh tests/proc_forwarded.sh tests/proc_limits.sh \
        tests/proc_leaving_targets.sh tests/proc_lost_peer.sh tests/proc_odd_entries.sh tests/proc_prompt_turns.sh \
        tests/proc_silent_targets.sh tests/proc_stop.sh \
        tests/proc_store_era.sh tests/proc_stream_out_of_step.sh tests/proc_stream_restart.sh \
        tests/proc_stream_version.sh \
        tests/proc_target_words.sh; do
        [ -f "$script" ] || continue
        name=$(basename "$script" .sh)
        case " ${PROC_TESTS:-1} " in
        " 1 " | *" $name "*) ;;
        *) continue ;;
        esac
        BIN=$build/skylarkspar-check FAKE=$build/skyfake \
            timeout 240 sh "$script" >"$logs/$name" 2>&1
        code=$?
        [ $code -eq 0 ] || {
            grep '^FAILED' "$logs/$name"
            tail -n 60 "$logs/$name"
        }
        record_result "$name" $code
    done
fi
if [ -f KNOWN-RED.txt ]; then
    sed -n "s|^command: ||p" KNOWN-RED.txt | sed "s|TESTS|$build/tests|" |
        while read -r command; do
            if sh -c "$command" >/dev/null 2>&1; then
                echo "KNOWN RED, now green: $command"
            else
                echo "KNOWN RED: $command"
            fi
        done
fi
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
