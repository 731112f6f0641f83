#!/usr/bin/env bash
# Guards against a second execution of a non-idempotent request when the owner of its identifier is killed.
source "$(dirname "$0")/lib.sh"
start_fleet
mapfile -t ids < <(request_ids 0 3)
finished=${ids[0]} running=${ids[1]} unused=${ids[2]}
send() { call "$1" "pay?key=$2&run_ms=${3:-10}" -H "Lspar-Request-Id: $2" -H 'Lspar-Deadline-Ms: 8000'; }
has_started() { (($(execution_count "$1") == 1)); }

expect_equal "200 answered " "$(send 1 "$finished")" "answer to the first request"
send 2 "$finished" >/dev/null
expect_equal 1 "$(execution_count "$finished")" "executions after a repeated request"
send 1 "$running" 3000 >"$FLEET_DIR/running" &
sender=$!
wait_until "the long request has started" has_started "$running"

owner=$(pid_of instance0)
kill -KILL "$owner"
wait "$owner" 2>/dev/null
for n in 1 2 3; do
    for id in "$finished" "$running" "$unused"; do
        expect_equal "504 may-have-run owner-gone" "$(send "$n" "$id")" "repeated request at instance $n"
    done
done
wait "$sender"
expect_equal "504 may-have-run" "$(cut -d' ' -f1,2 "$FLEET_DIR/running")" "answer to the request whose owner was killed"

fleet_start_instance 0
fleet_wait_ready || fail "the owner did not start again"
for n in 0 1 2 3; do
    for id in "$finished" "$running" "$unused"; do
        expect_equal "may-have-run" "$(send "$n" "$id" | cut -d' ' -f2)" \
            "repeated request at instance $n after the owner was restarted"
    done
done
expect_equal 1 "$(execution_count "$finished")" "executions of the finished request"
expect_equal 1 "$(execution_count "$running")" "executions of the running request"
expect_equal 0 "$(execution_count "$unused")" "executions of the unused identifier"
