#!/usr/bin/env bash
# Guards against requests that are lost when one instance can no longer send to another but still receives from it.
source "$(dirname "$0")/lib.sh"
start_fleet
dispatcher=$(dump_of 0 | jq -r ".services.$FLEET_SERVICE.dispatchers[0].instance")
index=$(((${dispatcher##*:} - FLEET_PORT) / 10))
from=$(((index + 1) % FLEET_INSTANCES))
link_is_cut() { dump_matches "$from" ".members[] | select(.instance == \"$dispatcher\") | .bidirectional | not"; }
curl -s -m 5 -o /dev/null -d "{\"outgoing\":[\"$dispatcher\"]}" "http://$(fleet_admin "$from")/faults"
# call_all_instances NAME: sends 10 requests through each instance, with keys that start with NAME.
call_all_instances() {
    local n i
    for ((n = 0; n < FLEET_INSTANCES; n++)); do
        for ((i = 0; i < 10; i++)); do call_idempotent "$n" "a?key=$1-$n-$i"; done
    done
}
call_all_instances early >"$FLEET_DIR/early"
wait_until "the dump shows the link as not bidirectional" link_is_cut
call_all_instances late >"$FLEET_DIR/late"
for phase in early late; do
    expect_equal "$((10 * FLEET_INSTANCES)) 200 answered" "$(sort "$FLEET_DIR/$phase" | uniq -c | xargs)" \
        "answers to the $phase requests"
done
curl -s -m 5 -o /dev/null -d '{}' "http://$(fleet_admin "$from")/faults"
