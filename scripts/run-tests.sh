#!/bin/sh
# Runs the test programs given, tests/proc_*.sh and tests/alone_*.sh; the last
# line has the counts. The commands in KNOWN-RED.txt are run and printed, but
# not counted. Lines come in a fixed order, each with its seconds.
# TEST_JOBS: how many run at once (default: half of the cores). The tests with
#   processes have ports of their own. tests/alone_*.sh run one at a time, after
#   all others.
# PROC_TESTS: 1 (default): all tests with processes; 0: none; else names to run.
# usage: run-tests.sh BUILD PROGRAM...
set -u
build=$1
shift
jobs=${TEST_JOBS:-$(($(nproc) / 2))}
[ "$jobs" -ge 1 ] || jobs=1
passed=0
failed=0
logs=$(mktemp -d)
trap 'rm -rf "$logs"' EXIT
export build logs

# Runs one command line per line of standard input, $1 at a time. A line is
# NAME, a tab, and the command; writes $logs/NAME, NAME.code and NAME.seconds.
run_side_by_side() {
    # shellcheck disable=SC2016  # the inner shell expands these
    tr '\n' '\0' | xargs -0 -r -P "$1" -n 1 sh -c '
        name=$(printf "%s" "$1" | cut -f 1)
        started=$(date +%s)
        sh -c "$(printf "%s" "$1" | cut -f 2-)" >"$logs/$name" 2>&1
        echo $? >"$logs/$name.code"
        echo $(($(date +%s) - started)) >"$logs/$name.seconds"' run
}
report() { # names of finished tests
    for name in "$@"; do
        code=$(cat "$logs/$name.code")
        if [ "$code" -eq 0 ]; then
            passed=$((passed + 1))
            echo "ok   $name ($(cat "$logs/$name.seconds") s)"
        else
            failed=$((failed + 1))
            grep '^FAILED' "$logs/$name"
            tail -n 60 "$logs/$name"
            echo "FAIL $name ($(cat "$logs/$name.seconds") s)"
        fi
    done
}
# Names of the tests/$1_*.sh to run, but for those of KNOWN-RED.txt alone.
list_scripts() {
    for script in tests/"$1"_*.sh; do
        [ -f "$script" ] || continue
        name=$(basename "$script" .sh)
        # Steps of other tests, or run by KNOWN-RED.txt.
        case $name in
        proc_check | proc_cut_hand_over | proc_cut_quiet_host | \
            proc_crashing_part | proc_shared_request) continue ;;
        esac
        case " ${PROC_TESTS:-1} " in
        " 1 " | *" $name "*) echo "$name" ;;
        esac
    done
}
script_commands() { # names
    for name in "$@"; do
        printf '%s\tBIN=%s/skylarkspar-check FAKE=%s/skyfake timeout 240 sh tests/%s.sh\n' \
            "$name" "$build" "$build" "$name"
    done
}

for program in "$@"; do
    printf '%s\t%s --gtest_brief=1\n' "$(basename "$program")" "$program"
done | run_side_by_side "$jobs"
names=$(for program in "$@"; do basename "$program"; done)
# shellcheck disable=SC2086
report $names
if [ "${PROC_TESTS:-1}" != 0 ]; then
    scripts=$(list_scripts proc)
    # shellcheck disable=SC2086
    script_commands $scripts | run_side_by_side "$jobs"
    # shellcheck disable=SC2086
    report $scripts
fi
if [ -f KNOWN-RED.txt ]; then
    # Else the scripts take the plain build, also in a run of a sanitized one.
    export BIN="$build/skylarkspar-check" FAKE="$build/skyfake"
    sed -n "s|^command: ||p" KNOWN-RED.txt |
        sed "s|TESTS|$build/tests|; s|BUILD/|$build/|g" |
        awk '{printf "red-%03d\t%s\n", NR, $0}' >"$logs/red"
    # Two entries of one script share its ports: they run one after the other.
    awk -F '\t' -v logs="$logs" '{
        script = match($2, /tests\/[a-z_]*\.sh/) ? substr($2, RSTART + 6, RLENGTH - 6) : $1
        gsub(/'"'"'/, "'"'\\''"'", $2)
        printf "%s\tflock %s/%s.lock sh -c '"'%s'"'\n", $1, logs, script, $2
    }' "$logs/red" >"$logs/red-locked"
    run_side_by_side "$jobs" <"$logs/red-locked"
    while IFS="$(printf '\t')" read -r name command; do
        state="KNOWN RED"
        if [ "$(cat "$logs/$name.code")" -eq 0 ]; then
            state="KNOWN RED, now green"
        else
            grep '^FAILED' "$logs/$name"
        fi
        echo "$state: $command ($(cat "$logs/$name.seconds") s)"
    done <"$logs/red"
fi
if [ "${PROC_TESTS:-1}" != 0 ]; then
    scripts=$(list_scripts alone)
    # shellcheck disable=SC2086
    script_commands $scripts | run_side_by_side 1
    # shellcheck disable=SC2086
    report $scripts
fi
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
