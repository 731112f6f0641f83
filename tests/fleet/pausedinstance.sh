#!/usr/bin/env bash
# Guards against queued requests whose deadlines pass while the instance is paused, but that run when it resumes.
source "$(dirname "$0")/lib.sh"
FLEET_ZONES=palermo FLEET_ZONE_LIST=(palermo) FLEET_INSTANCES=3 FLEET_UPSTREAMS=2 FLEET_SLOTS=2
start_fleet
owner=$(dump_of 0 | jq -r ".services.$FLEET_SERVICE.dispatchers[0].instance")
index=$(((${owner##*:} - FLEET_PORT) / 10))
senders=()
for ((i = 0; i < 4; i++)); do
    call "$index" "hold?key=held$i&run_ms=2500" -H 'Lspar-Deadline-Ms: 15000' >"$FLEET_DIR/held$i" &
    senders+=($!)
done
all_slots_in_use() { (($(upstream_total running) == 4)); }
wait_until "all slots are in use" all_slots_in_use
for ((i = 0; i < 6; i++)); do
    call "$index" "queued?key=queued$i&run_ms=10" -H 'Lspar-Deadline-Ms: 3000' >"$FLEET_DIR/queued$i" &
    senders+=($!)
done
wait_until "requests are queued" dump_matches "$index" ".services.$FLEET_SERVICE.queue.queued == 6"
kill -STOP "$(pid_of "instance$index")"
sleep 4
kill -CONT "$(pid_of "instance$index")"
wait "${senders[@]}"
wait_until "the pause is logged" log_has "instance$index" process.paused
for ((i = 0; i < 6; i++)); do
    expect_equal 0 "$(execution_count "queued$i")" "executions of a request whose deadline passed during the pause"
    expect_equal "503 not-run" "$(cut -d' ' -f1,2 "$FLEET_DIR/queued$i")" \
        "answer to a request whose deadline passed during the pause"
done
for ((i = 0; i < 4; i++)); do
    expect_equal 1 "$(execution_count "held$i")" "executions of a request in flight"
    grep -qE '^(200 answered|504 may-have-run)' "$FLEET_DIR/held$i" ||
        fail "unexpected answer to a request in flight: $(<"$FLEET_DIR/held$i")"
done
is_running "instance$index" || fail "the process ended"
wait_until "the instance serves again" dump_matches "$index" '.process.state == "ready"'
for ((n = 0; n < FLEET_INSTANCES; n++)); do
    expect_equal "200 answered " "$(call_idempotent "$n" a)" "answer at instance $n after the pause"
done
