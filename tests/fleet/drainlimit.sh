#!/usr/bin/env bash
# Guards against a planned stop with a drain limit that takes requests which cannot end in time, and cuts them.
source "$(dirname "$0")/lib.sh"
FLEET_INSTANCES=2 FLEET_ZONES=palermo
FLEET_ZONE_LIST=(palermo) # one dispatcher, and one instance that only forwards
FLEET_DRAIN_LIMIT_MS=5000
start_fleet
has_started() { (($(execution_count "$1") == 1)); }
is_answered() { [[ $(call "$1" "$2" -H 'Lspar-Deadline-Ms: 1000') == "200 answered " ]]; }
# expect_refused KEY [CURL OPTION...]: sends a request that may outlast instance LEAVING, which has to refuse it.
expect_refused() {
    local key=$1
    shift
    expect_equal "503 not-run leaving" "$(call "$LEAVING" "settle?key=$key&run_ms=7000" -H 'Lspar-Deadline-Ms: 8000' "$@")" \
        "answer to $key"
    expect_equal 0 "$(execution_count "$key")" "executions of $key"
}
# stop_while_requests_arrive N: stops instance N gracefully while it has requests and others arrive.
stop_while_requests_arrive() {
    LEAVING=$1
    local other=$((1 - $1)) own_id other_id new_id long
    own_id=$(request_ids "$1" 1) other_id=$(request_ids "$other" 1) new_id=$(request_ids "$other" 1)
    expect_equal "200 answered " "$(call "$1" "settle?key=own$1&run_ms=10" -H "Lspar-Request-Id: $own_id")" "first delivery"
    expect_equal "200 answered " "$(call "$other" "settle?key=other$1&run_ms=10" -H "Lspar-Request-Id: $other_id")" \
        "first delivery at the other instance"
    call "$1" "settle?key=long$1&run_ms=9000" -H 'Lspar-Deadline-Ms: 12000' >"$FLEET_DIR/long$1" &
    long=$!
    wait_until "the long request has started" has_started "long$1"
    fleet_terminate "instance$1"
    wait_until "the instance stops" log_has "instance$1" instance.leaving
    # Refusals for lack of an upstream are possible until the other instance has taken over the dispatch.
    wait_until "a request that ends in time is answered" is_answered "$1" "settle?key=short$1&run_ms=10"
    expect_refused "late$1"
    expect_refused "idempotent$1" -H 'Lspar-Idempotent: true'
    # Only the owner of an identifier knows whether an earlier delivery has run.
    expect_refused "new$1" -H "Lspar-Request-Id: $new_id"
    expect_equal "200 answered " "$(call "$1" "settle?key=own$1&run_ms=10" -H "Lspar-Request-Id: $own_id" \
        -H 'Lspar-Deadline-Ms: 8000')" "repeated delivery"
    expect_equal "200 answered " "$(call "$1" "settle?key=other$1&run_ms=10" -H "Lspar-Request-Id: $other_id" \
        -H 'Lspar-Deadline-Ms: 8000')" "repeated delivery of a request that the other instance owns"
    wait "$long"
    expect_equal "504 may-have-run cancelled" "$(<"$FLEET_DIR/long$1")" "answer to the long request"
    expect_equal 1 "$(execution_count "long$1")" "executions of the long request"
    fleet_wait_stopped "instance$1" && fail "expected exit status 1 after a request was aborted"
    log_has "instance$1" "instance.forced-stop" || fail "the abort was not logged"
    fleet_start_instance "$1"
    fleet_wait_ready || fail "instance $1 did not start again"
}
for n in 0 1; do stop_while_requests_arrive "$n"; done
stop_fleet
