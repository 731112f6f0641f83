#!/usr/bin/env bash
# Guards against a fleet that cannot add instances while the platform is unavailable, and against settings that revert
# to an older version when the platform serves an older state.
source "$(dirname "$0")/lib.sh"
FLEET_INSTANCES=3
start_fleet
first=$(put_settings 'queue = 500')
wait_until "version $first is accepted everywhere" is_version_accepted "$first"
# Prints the number of calls that the platform has received.
platform_calls() { curl -s -m 5 "http://$FLEET_PLATFORM/control/calls" | jq '[.. | numbers] | add'; }
has_platform_calls() { (($(platform_calls) >= $1)); }

platform_post 'stale?on=1' >/dev/null
second=$(put_settings 'queue = 600')
wait_until "the instances have called the stale platform" has_platform_calls $(($(platform_calls) + 6))
is_version_accepted "$first" || fail "the accepted version changed while the platform was stale"
platform_post 'stale?on=0' >/dev/null
wait_until "version $second is accepted everywhere" is_version_accepted "$second"

fleet_terminate platform
fleet_wait_stopped platform || fail "the platform did not stop"
FLEET_INSTANCES=4
fleet_start_instance 3
fleet_wait_ready || fail "an instance does not become ready without the platform"
is_version_accepted "$second" || fail "the new instance does not have the settings of its peers"
expect_equal "200 answered " "$(call_idempotent 3 a)" "answer at the new instance"

# A platform that restarts from its files has lost the later versions.
fleet_spawn platform "$FLEET_BIN/lspar-platform" --listen "$FLEET_PLATFORM" --values "$FLEET_DIR/values" \
    --instances "$FLEET_DIR/instances.json"
wait_until "the instances have called the restarted platform" has_platform_calls 8
is_version_accepted "$second" || fail "an older platform lowered the accepted version"
for ((n = 0; n < FLEET_INSTANCES; n++)); do
    expect_equal "200 answered " "$(call_idempotent "$n" a)" "answer at instance $n"
done
