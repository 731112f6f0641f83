#!/usr/bin/env bash
# Builds, runs a fleet of 6 instances in 3 zones on loopback, sends requests, makes one upstream slow while its health
# checks succeed, and prints the outcomes at the callers. Takes less than 60 s after the build. Exits with 0 if all
# guarantees to callers and all bounds of the scenario hold.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
TARGETS="laburnumspar lspar-load lspar-platform lspar-upstream" scripts/build.sh
# shellcheck source=scripts/fleet.sh
source scripts/fleet.sh
trap fleet_cleanup EXIT

echo "starting $FLEET_INSTANCES instances in $FLEET_ZONES and $FLEET_UPSTREAMS upstreams of $FLEET_SERVICE"
fleet_start
echo "addresses returned to a caller:"
"$FLEET_BIN/laburnumspar" addresses --at "$(fleet_callers 0)" --service "$FLEET_SERVICE"
echo "5 s of load, then 8 s in which upstream 2 is 20 times slower while its health checks succeed:"
status=0
timeout 40 "$FLEET_BIN/lspar-load" --scenario bench/scenarios/demo.toml --seed 1 --threads 1 \
    --entries "$(fleet_entries)" --control "$FLEET_CONTROL" || status=$?
fleet_stop_all || {
    echo "an instance did not stop cleanly" >&2
    status=1
}
exit "$status"
