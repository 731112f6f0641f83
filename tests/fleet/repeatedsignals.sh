#!/usr/bin/env bash
# Guards against requests that are lost, and processes that end or do not stop, because signals come repeatedly: SIGHUP in
# a loop, SIGTERM during a reload, and a second SIGTERM, which has to abort and answer what still runs.
source "$(dirname "$0")/lib.sh"
FLEET_INSTANCES=2 FLEET_ZONES=palermo
FLEET_ZONE_LIST=(palermo)
start_fleet
has_started() { (($(execution_count "$1") == 1)); }
# reload_repeatedly N: sends SIGHUP to instance N until it has ended.
reload_repeatedly() {
    local pid
    pid=$(pid_of "instance$1")
    while kill -HUP "$pid" 2>/dev/null; do sleep 0.002; done
}
# start_long N KEY: starts a request of 2 s at instance N; sets LONG.
start_long() {
    call "$1" "settle?key=$2&run_ms=2000" -H 'Lspar-Deadline-Ms: 8000' >"$FLEET_DIR/$2" &
    LONG=$!
    wait_until "the long request $2 has started" has_started "$2"
}

reload_repeatedly 0 &
reloads=$!
start_long 0 reloading
for n in {1..20}; do
    expect_equal "200 answered " "$(call 0 "settle?key=short$n&run_ms=10")" "answer during reloads"
done
wait "$LONG"
expect_equal "200 answered " "$(<"$FLEET_DIR/reloading")" "answer to the long request during reloads"
log_has instance0 instance.reloaded || fail "no reload was logged"

# The reloads go on.
start_long 0 stopping
fleet_terminate instance0
wait "$LONG"
expect_equal "200 answered " "$(<"$FLEET_DIR/stopping")" "answer to the long request in flight at SIGTERM"
fleet_wait_stopped instance0 || fail "instance 0 did not exit with 0 after SIGTERM between reloads"
wait "$reloads"

start_long 1 aborted
fleet_terminate instance1
wait_until "the instance stops" log_has instance1 instance.leaving
fleet_terminate instance1
wait "$LONG"
expect_equal "504 may-have-run cancelled" "$(<"$FLEET_DIR/aborted")" "answer to the long request at the second SIGTERM"
fleet_wait_stopped instance1 && fail "expected exit status 1 after a request was aborted"
log_has instance1 instance.forced-stop || fail "the abort was not logged"
