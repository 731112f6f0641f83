#!/usr/bin/env bash
# Guards against new requests to a draining upstream, whether it announces its drain in its own answers or only the
# instance list does.
source "$(dirname "$0")/lib.sh"
start_fleet
# phase_filter N PHASE: prints a jq filter that is true if a dump shows upstream N in PHASE.
phase_filter() { echo ".services.$FLEET_SERVICE.health.upstreams[] | select(.upstream == \"127.0.0.1:$((FLEET_UPSTREAM_PORT + $1))\") | .phase == \"$2\""; }

# Requests are sent for 5 s, because the upstream counts those that arrive more than 3 s after the start of its drain as
# late.
send_requests 40
since=$(upstream_fault 'upstream=0&kind=drain' | jq .at_ms)
while (($(upstream_clock_ms) < since + 5000)); do send_requests 20; done
before=$(upstream_stat 0 received)
send_requests 100
expect_equal "$before" "$(upstream_stat 0 received)" "requests received by the upstream that announced its drain"
expect_equal 0 "$(upstream_total late_after_drain)" "requests received more than 3 s after the drain began"

fleet_instance_list | jq -c --arg address "127.0.0.1:$((FLEET_UPSTREAM_PORT + 1))" \
    '.instances |= map(if .address == $address then .state = "leaving" else . end)' >"$FLEET_DIR/leaving.json"
platform_post instances "$(<"$FLEET_DIR/leaving.json")" >/dev/null
wait_until "every instance sees the upstream as draining" all_dumps_match "$(phase_filter 1 draining)"
before=$(upstream_stat 1 received)
send_requests 100
expect_equal "$before" "$(upstream_stat 1 received)" "requests received by the upstream that the list shows as leaving"
expect_equal "200 answered" "$(sort -u "$FLEET_DIR/answers" | xargs)" "answers"
