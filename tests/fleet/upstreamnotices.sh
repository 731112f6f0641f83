#!/usr/bin/env bash
# Guards against requests to an upstream that has asked for a pause, and against more requests than the rate that
# an upstream has named.
source "$(dirname "$0")/lib.sh"
start_fleet
has_rejected() { (($(upstream_stat 0 shed) > 0)); }

# A pause that outlasts the test: only requests that were on their way may arrive after the first rejection.
upstream_fault 'upstream=0&kind=pause&factor=300' >/dev/null
for ((n = 0; n < 50; n++)); do
    send_requests 40
    has_rejected && break
done
has_rejected || fail "the upstream that asks for a pause got no request"
before=$(upstream_stat 0 received)
for ((n = 0; n < 5; n++)); do send_requests 40; done
expect_equal "$before" "$(upstream_stat 0 received)" "requests received by the upstream that asked for a pause"

# One dispatcher sends to each upstream, so that the whole rate is its own. Twice the rate bounds what arrives from the
# second answer on, for any duration of the test.
rate=5
upstream_fault "upstream=1&kind=rate&factor=$rate" >/dev/null
before=$(upstream_stat 1 received)
for ((n = 0; n < 50; n++)); do
    send_requests 40
    (($(upstream_stat 1 received) > before)) && break
done
since=$(upstream_clock_ms)
before=$(upstream_stat 1 received)
for ((n = 0; n < 20; n++)); do send_requests 40; done
received=$(($(upstream_stat 1 received) - before))
allowed=$((2 * rate * ($(upstream_clock_ms) - since) / 1000 + 5))
((received <= allowed)) || fail "requests at a rate of $rate a second: at most $allowed expected, got $received"
((received > 0)) || fail "the upstream that named a rate got no request"
expect_equal "200 answered" "$(sort -u "$FLEET_DIR/answers" | xargs)" "answers"
