#!/bin/sh
# Runs the test programs given and tests/proc_*.sh; the last line has the counts.
# The commands in KNOWN-RED.txt are run and printed, but not counted.
# PROC_TESTS: 1 (default): all of tests/proc_*.sh; 0: none; else names to run.
# PROC_JOBS: how many of them run at once (default 1); each has ports of its own.
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
    scripts=""
    for name in proc_answers proc_faults proc_edge proc_brittle \
        proc_crashes proc_crash_waves \
        proc_cut_heads proc_cut_hosts proc_cut_streams \
        proc_endless_response proc_forwarded proc_leaving_targets \
        proc_limits proc_lost_peer proc_odd_entries \
        proc_overfilled_target proc_prompt_turns \
        proc_silent_targets proc_stop proc_stop_late proc_store_era \
        proc_stream_new_version proc_stream_next_error \
        proc_stream_out_of_step proc_stream_restart proc_stream_version \
        proc_target_words; do
        [ -f "tests/$name.sh" ] || continue
        case " ${PROC_TESTS:-1} " in
        " 1 " | *" $name "*) scripts="$scripts $name" ;;
        esac
    done
    export build logs
    # shellcheck disable=SC2016  # the inner shell expands these
    printf '%s\n' $scripts | xargs -P "${PROC_JOBS:-1}" -I NAME sh -c \
        'BIN=$build/skylarkspar-check FAKE=$build/skyfake timeout 240 sh tests/NAME.sh >"$logs/NAME" 2>&1
         echo $? >"$logs/NAME.code"'
    for name in $scripts; do
        code=$(cat "$logs/$name.code")
        [ "$code" -eq 0 ] || {
            grep '^FAILED' "$logs/$name"
            tail -n 60 "$logs/$name"
        }
        record_result "$name" "$code"
    done
fi
if [ -f KNOWN-RED.txt ]; then
    sed -n "s|^command: ||p" KNOWN-RED.txt | sed "s|TESTS|$build/tests|; s|BUILD/|$build/|g" |
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
