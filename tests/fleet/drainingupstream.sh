#!/usr/bin/env bash
# Guards against new work for an upstream that drains, announced by its own answers or by the instance list only.
source "$(dirname "$0")/lib.sh"
start_fleet
ask() {
    local i senders=()
    for ((i = 0; i < $1; i++)); do
        call_idempotent $((i % FLEET_INSTANCES)) a >>"$FLEET_DIR/answers" &
        senders+=($!)
    done
    wait "${senders[@]}"
}
clock() { curl -s -m 5 "http://$FLEET_CONTROL/control/stats" | jq .clock_ms; }
phase_of() { echo ".services.$FLEET_SERVICE.health.upstreams[] | select(.upstream == \"127.0.0.1:$((FLEET_UPSTREAM_PORT + $1))\") | .phase == \"$2\""; }

# Work that arrives 3 s after the first signal counts as late, so the requests go on until then.
ask 40
since=$(upstream_fault 'upstream=0&kind=drain' | jq .at_ms)
while (($(clock) < since + 5000)); do ask 20; done
before=$(upstream_stat 0 received)
ask 100
expect_equal "$before" "$(upstream_stat 0 received)" "work of the upstream that announced its drain"
expect_equal 0 "$(upstream_total late_after_drain)" "work received 3 s after the drain began"

fleet_instance_list | jq -c --arg address "127.0.0.1:$((FLEET_UPSTREAM_PORT + 1))" \
    '.instances |= map(if .address == $address then .state = "leaving" else . end)' >"$FLEET_DIR/leaving.json"
platform_post instances "$(<"$FLEET_DIR/leaving.json")" >/dev/null
eventually "every instance sees the upstream as draining" all_dumps_match "$(phase_of 1 draining)"
before=$(upstream_stat 1 received)
ask 100
expect_equal "$before" "$(upstream_stat 1 received)" "work of the upstream that the list names as leaving"
expect_equal "200 answered" "$(sort -u "$FLEET_DIR/answers" | xargs)" "answers"
