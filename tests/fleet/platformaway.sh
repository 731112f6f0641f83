#!/usr/bin/env bash
# Guards against a fleet that cannot replace instances while the platform is away, and against settings that revert to
# an older version when the platform serves an older state.
source "$(dirname "$0")/lib.sh"
FLEET_INSTANCES=3
start_fleet
first=$(put_settings 'queue = 500')
eventually "version $first is accepted everywhere" is_accepted "$first"
calls() { curl -s -m 5 "http://$FLEET_PLATFORM/control/calls" | jq '[.. | numbers] | add'; }
has_calls() { (($(calls) >= $1)); }

platform_post 'stale?on=1' >/dev/null
hidden=$(put_settings 'queue = 600')
eventually "the stale platform is asked" has_calls $(($(calls) + 6))
is_accepted "$first" || fail "a version changed while the platform was stale"
platform_post 'stale?on=0' >/dev/null
eventually "version $hidden is accepted everywhere" is_accepted "$hidden"

fleet_terminate platform
fleet_wait_stopped platform || fail "the platform did not stop"
FLEET_INSTANCES=4
fleet_start_instance 3
fleet_wait_ready || fail "an instance does not become ready without the platform"
is_accepted "$hidden" || fail "the new instance does not have the settings of its peers"
expect_equal "200 answered " "$(call_idempotent 3 a)" "request at the new instance"

# A platform that starts again from its files has lost the later versions.
fleet_spawn platform "$FLEET_BIN/lspar-platform" --listen "$FLEET_PLATFORM" --values "$FLEET_DIR/values" \
    --instances "$FLEET_DIR/instances.json"
eventually "the older platform is asked" has_calls 8
is_accepted "$hidden" || fail "a version was lowered by an older platform"
for ((n = 0; n < FLEET_INSTANCES; n++)); do
    expect_equal "200 answered " "$(call_idempotent "$n" a)" "request at instance $n"
done
