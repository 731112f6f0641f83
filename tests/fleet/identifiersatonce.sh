#!/usr/bin/env bash
# Guards against a second execution when the same request identifier is sent to all instances at the same time.
source "$(dirname "$0")/lib.sh"
start_fleet
mapfile -t ids < <(request_ids 0 20)
expect_equal 20 "${#ids[@]}" "number of issued identifiers"
for id in "${ids[@]}"; do
    senders=()
    for ((n = 0; n < FLEET_INSTANCES; n++)); do
        call "$n" "pay?key=$id&run_ms=20" -H "Lspar-Request-Id: $id" >>"$FLEET_DIR/answers" &
        senders+=($!)
    done
    wait "${senders[@]}"
done
expect_equal $((20 * FLEET_INSTANCES)) "$(wc -l <"$FLEET_DIR/answers")" "number of answers"
for id in "${ids[@]}"; do expect_equal 1 "$(execution_count "$id")" "executions of $id"; done
expect_equal "" "$(grep -vE '^(200 answered|409 )' "$FLEET_DIR/answers")" "answers other than the result or status 409"
