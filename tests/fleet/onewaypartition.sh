#!/usr/bin/env bash
# Guards against requests that are lost when one instance can no longer send to another, but still hears it.
source "$(dirname "$0")/lib.sh"
start_fleet
dispatcher=$(dump_of 0 | jq -r ".services.$FLEET_SERVICE.dispatchers[0].instance")
index=$(((${dispatcher##*:} - FLEET_PORT) / 10))
from=$(((index + 1) % FLEET_INSTANCES))
cut_off() { dump_matches "$from" ".members[] | select(.instance == \"$dispatcher\") | .bidirectional | not"; }
curl -s -m 5 -o /dev/null -d "{\"outgoing\":[\"$dispatcher\"]}" "http://$(fleet_admin "$from")/faults"
ask_all() {
    local n i
    for ((n = 0; n < FLEET_INSTANCES; n++)); do
        for ((i = 0; i < 10; i++)); do call_idempotent "$n" "a?key=$1-$n-$i"; done
    done
}
ask_all early >"$FLEET_DIR/early"
eventually "the cut link is visible in the dump" cut_off
ask_all late >"$FLEET_DIR/late"
for part in early late; do
    expect_equal "$((10 * FLEET_INSTANCES)) 200 answered" "$(sort "$FLEET_DIR/$part" | uniq -c | xargs)" "$part answers"
done
curl -s -m 5 -o /dev/null -d '{}' "http://$(fleet_admin "$from")/faults"
