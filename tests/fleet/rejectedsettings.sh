#!/usr/bin/env bash
# Guards against a rejected settings value that takes effect, is reported without its reason or blocks later valid
# values.
source "$(dirname "$0")/lib.sh"
start_fleet
first=$(put_settings 'queue = 500')
wait_until "version $first is accepted everywhere" is_version_accepted "$first"
rejected=$(put_settings 'long_share = 7')
settings_filter=".settings[] | select(.path == \"$SERVICE_PATH\")"
wait_until "every dump shows the rejected version with its reason" all_dumps_match \
    "$settings_filter | .rejected_version == $rejected and (.reason | contains(\"long_share\"))"
is_version_accepted "$first" || fail "the last accepted version is no longer in effect"
for ((n = 0; n < FLEET_INSTANCES; n++)); do
    expect_equal "200 answered " "$(call_idempotent "$n" a)" "answer at instance $n"
done
next=$(put_settings 'queue = 600')
wait_until "version $next is accepted everywhere" is_version_accepted "$next"
