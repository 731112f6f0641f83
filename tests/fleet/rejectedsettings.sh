#!/usr/bin/env bash
# Guards against a rejected value that takes effect, hides its reason or blocks the valid ones after it.
source "$(dirname "$0")/lib.sh"
start_fleet
first=$(put_settings 'queue = 500')
eventually "version $first is accepted everywhere" is_accepted "$first"
rejected=$(put_settings 'long_share = 7')
record=".settings[] | select(.path == \"$SERVICE_PATH\")"
eventually "every dump names the rejected version with its reason" all_dumps_match \
    "$record | .rejected_version == $rejected and (.reason | contains(\"long_share\"))"
is_accepted "$first" || fail "the last accepted version is no longer in force"
for ((n = 0; n < FLEET_INSTANCES; n++)); do
    expect_equal "200 answered " "$(call_idempotent "$n" a)" "request at instance $n"
done
next=$(put_settings 'queue = 600')
eventually "version $next is accepted everywhere" is_accepted "$next"
