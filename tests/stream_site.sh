# Functions shared by the tests/proc_stream_*.sh, with streams that are taken up
# at targets of two software versions; they source this file after edge_site.sh.

# The rule: streams with events of two versions.
MIXED_MAX=2
# stream HOST ID [CURL_OPTION...]: prints the status; PREFIX-NAME has the same
# body as NAME
stream() {
    to=$1 stream_id=$2
    shift 2
    send_request "$to" /gen/1 "$stream_id" -X POST -d "prompt ${stream_id#*-}" \
        -H 'X-Skylarkspar-Model: m1' "$@"
}
# begin HOST ID...: begins streams at a host, which fall silent after three
# events; the callers leave
begin() {
    at=$1
    shift
    set_fault "{\"hang_streams\": $#}"
    begun=""
    for id in "$@"; do
        stream "$at" "$id" -m 1 >/dev/null &
        begun="$begun $!"
    done
    wait $begun
    set_fault '{"hang_streams": 0}'
}
# go_on HOST ID OLD...: each stream OLD is taken up at a host, with the id
# ID-OLD; appends "ID-OLD STATUS" to the file "taken"
go_on() {
    at=$1 prefix=$2
    shift 2
    for old in "$@"; do
        echo "$prefix-$old $(stream "$at" "$prefix-$old" \
            -H 'Last-Event-Id: 3' -H "Resumes: $old")" >>"$DIR/taken"
    done
}
# versions FILE...: prints the versions named in these responses
versions() { cat "$@" | sed -n 's/^data: t[0-9]* //p' | sort -u | tr '\n' ' '; }
# mixed_within: prints whether the streams taken up since the last call hold
# events of two versions at most as often as allowed
mixed_within() {
    mixed=0
    while read -r id status; do
        [ "$status" = 200 ] || continue
        case "$(versions "$DIR/body.$id" "$DIR/body.${id#*-}")" in
        *v1*v2*) mixed=$((mixed + 1)) ;;
        esac
    done <"$DIR/taken"
    [ $mixed -le $MIXED_MAX ] && echo within || echo "$mixed mixed"
}
# gone_on: prints whether at least half of them go on, and forgets them
gone_on() {
    gone=$(grep -c ' 200$' "$DIR/taken")
    all=$(grep -c . "$DIR/taken")
    : >"$DIR/taken"
    [ $((2 * gone)) -ge "$all" ] && echo "half or more" || echo "$gone of $all"
}
ids() { # PREFIX: twelve ids
    for i in 1 2 3 4 5 6 7 8 9 10 11 12; do echo "$1$i"; done
}
