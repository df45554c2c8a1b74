#!/bin/bash
# Plays a case: play.sh CASE RECORD. Exits as the case does: 1 if the rule was
# broken, 0 if it held, 2 if the case couldn't run. If the case is stopped, or
# takes too long, ends every process that it had started.
cd "$(dirname "$0")/.." || exit 2
folder=$(mktemp -d) || exit 2
case=
finish() {
    [ -n "$case" ] && kill -9 "$case" 2>/dev/null
    # The case removes this list once it has ended its processes itself.
    if [ -f "$folder/pids" ]; then
        while read -r pid; do
            case $(readlink "/proc/$pid/exe") in
                "$PWD"/target/*) kill -9 "$pid" 2>/dev/null ;;
            esac
        done <"$folder/pids"
    fi
    rm -rf "$folder"
}
trap finish EXIT
trap 'exit 2' INT TERM
target/review/standin "$1" "$2" "$folder" &
case=$!
end=$((SECONDS + 112))
while kill -0 "$case" 2>/dev/null; do
    [ "$SECONDS" -lt "$end" ] || exit 2
    sleep 0.2
done
wait "$case"
code=$?
case=
[ "$code" -le 2 ] || code=2
exit "$code"
