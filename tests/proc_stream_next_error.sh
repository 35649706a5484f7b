#!/bin/sh
# Checks hosts on the users' platform, as processes, against its fake: a response
# has begun and breaks off, and the next target responds with something else than
# its continuation. The caller gets no byte of that, and sees that the response
# is not whole.
set -u
BASE=${BASE:-29600}
DIR=$(mktemp -d)
: "${BIN:=build/skylarkspar-check}" "${FAKE:=build/skyfake}"
trap 'kill -KILL $PIDS 2>/dev/null; rm -rf "$DIR"' EXIT
. tests/proc_check.sh
. tests/edge_site.sh

# ended ID COMMAND...: prints whether the response was whole; broken, as its
# connection was reset or closed too soon; or what else curl reports
ended() {
    ended_id=$1
    shift
    "$@" >"$DIR/out.$ended_id"
    case $? in
    0) echo whole ;;
    18 | 56) echo broken ;;
    *) echo "curl: $?" ;;
    esac
}
# data ID: prints the data of the events in a response
data() { sed -n 's/^data: \([^ ]*\).*/\1/p' "$DIR/body.$1" | tr '\n' ' '; }
stream() { # ID [HOST]: with a prompt of its own
    send_request "${2:-0}" /gen/1 "$1" -X POST -d "prompt $1" \
        -H 'X-Skylarkspar-Model: m1'
}
look() { send_request 0 "/look/$1" "$1"; }
# wait_targets: waits for the targets that crashed
wait_targets() { sleep 2; }

start_site 4 3
publish_config 7 ""
for n in 0 1 2; do
    check "host $n becomes ready" "$(until_status 200 50 readyz_status $n)" 200
done

# Guards against a response that another target's response is appended to.
set_fault '{"large_kb": 800}'
for chunked in 0 1; do
    id=large$chunked
    set_fault "{\"large_chunked\": $chunked, \"cut_large\": 1}"
    check "large response (chunked: $chunked) is cut: it ends as broken" \
        "$(ended $id look $id)" broken
    check "and is of one target" "$(tr -s a-z <"$DIR/body.$id" | wc -c)" 1
    wait_targets
    check "and others are whole" "$(ended $id.2 look $id.2)" whole
done
set_fault '{"large_kb": 0, "cut_text": 1}'
check "a text on a route with streams is cut: it ends as broken" \
    "$(ended text stream text)" broken
check "and nothing is appended to it" "$(cat "$DIR/body.text")" text
wait_targets
set_fault '{"events_without_ids": 1, "cut_streams": 1}'
check "events without ids: the stream ends as broken" \
    "$(ended idless stream idless)" broken
check "and none comes twice" "$(data idless)" "t1 t2 t3 "
set_fault '{"events_without_ids": 0}'

# play_answer NUMBER COUNT ID: a stream is cut after three events, and as many of
# the requests that resume it as given get this answer; prints how the stream
# ends, its status and events, and whether a request to resume it was sent
play_answer() {
    set_fault "{\"resume_answer\": $1, \"resume_answers\": $2,
        \"cut_streams\": 1, \"cut_head_bytes\": 60}"
    # Each host has its own share of the retry budget.
    ending=$(ended "$3" stream "$3" $(($1 % 3)))
    set_fault '{"resume_answers": 0, "cut_streams": 0}'
    [ "$(run_count "$3")" -ge 2 ] && resumed="resumed" || resumed="not resumed"
    echo "$ending $(cat "$DIR/out.$3") $(data "$3")$resumed"
}
# The answers of the fake, see RESUME_ANSWERS.
number=0
for answer in "500 with a length" "500 in chunks" "500 until close" \
    "500 without a body" "404" "503, not run, with a length" \
    "503, not run, in chunks" "421" "204" "302" "200 without a seal" \
    "200 with an encoding" "200, no byte until close" \
    "200, text with a length" "200, text in chunks" "200, text until close" \
    "200, empty text with a length" "200, empty text in chunks" \
    "421 without the mark" "a part of a head"; do
    wanted="whole 200 t1 t2 t3 t4 t5 t6 t7 t8 resumed"
    # Two targets seem to have crashed: the request is quarantined.
    case $answer in
    "200, no byte until close" | "a part of a head")
        wanted="broken 200 t1 t2 t3 resumed"
        ;;
    esac
    check "the next target answers with $answer: the stream goes on, if it may" \
        "$(play_answer $number 1 "one$number")" "$wanted"
    check "all others do: the stream ends as broken" \
        "$(play_answer $number 9 "all$number")" "broken 200 t1 t2 t3 resumed"
    number=$((number + 1))
done
[ "$failures" -eq 0 ] || tail -n 30 "$DIR"/edge*.log
[ "$failures" -eq 0 ]
