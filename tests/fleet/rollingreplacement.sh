#!/usr/bin/env bash
# Guards against requests that are aborted when every instance in turn is stopped gracefully and started again.
source "$(dirname "$0")/lib.sh"
FLEET_INSTANCES=3 FLEET_ZONES=palermo,catania
FLEET_ZONE_LIST=(palermo catania) # two dispatchers, and one instance that only forwards
start_fleet
cat >"$FLEET_DIR/rolling.toml" <<END
name = "rolling"
[upstreams]
count = $FLEET_UPSTREAMS
slots = $FLEET_SLOTS
zones = ["palermo", "catania"]
[callers]
count = 20
addresses = 3
[[mix]]
service = "orders"
team = "web"
weight = 0.6
run_ms = 10
long_run_ms = 2000
long_share = 0.02
deadline_ms = 5000
long_deadline_ms = 8000
[[mix]]
service = "orders"
team = "batch"
weight = 0.4
run_ms = 10
non_idempotent_share = 1.0
deadline_ms = 5000
[[phase]]
name = "rolling"
duration_ms = 19000
load = 0.3
END
"$FLEET_BIN/lspar-load" --scenario "$FLEET_DIR/rolling.toml" --seed 1 --entries "$(fleet_entries)" \
    --control "$FLEET_CONTROL" --json "$FLEET_DIR/rolling.json" >"$FLEET_DIR/load.txt" 2>&1 &
load=$!
load_has_arrived() { (($(upstream_total received) > 200)); }
wait_until "the upstreams have received more than 200 requests" load_has_arrived
for ((n = 0; n < FLEET_INSTANCES; n++)); do
    # A request of 2 s is in flight at this instance when it receives SIGTERM.
    call "$n" "settle?key=long$n&run_ms=2000" -H 'Lspar-Deadline-Ms: 8000' >"$FLEET_DIR/long$n" &
    long=$!
    has_started() { (($(execution_count "long$n") == 1)); }
    wait_until "the long request has started" has_started
    fleet_terminate "instance$n"
    fleet_wait_stopped "instance$n" || fail "instance $n did not exit with 0"
    wait "$long"
    expect_equal "200 answered " "$(<"$FLEET_DIR/long$n")" "answer to the long request in flight at instance $n"
    fleet_start_instance "$n"
    fleet_wait_ready || fail "instance $n did not start again"
done
wait "$load" || fail "lspar-load failed or a guarantee to callers was violated: $(cat "$FLEET_DIR/load.txt")"
counts=$(sed -n '2,3p' "$FLEET_DIR/load.txt")
echo "$counts"
read -r _ offered _ _ _ may_have_run no_answer _ error wrong _ <<<"$(tail -n 1 <<<"$counts")"
((offered > 1000)) || fail "expected more than 1000 requests: $counts"
expect_equal "0 0 0 0" "$may_have_run $no_answer $error $wrong" "may-have-run, no answer, error, wrong in: $counts"
