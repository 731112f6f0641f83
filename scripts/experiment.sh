#!/usr/bin/env bash
# experiment.sh POOL/SCENARIO [SEED] [JSON]: runs a scenario of bench/scenarios/ through a fleet on loopback, with the
# upstreams given in the scenario. FLEET_INSTANCES (default 36) and FLEET_POLICY (group or local) configure the fleet.
# With MODE=direct, requests go directly to the upstreams. Exits with the status of lspar-load.
set -euo pipefail
cd "$(dirname "$0")/.."
file=bench/scenarios/$1.toml
# upstream_setting KEY: prints the value of a key in the [upstreams] table of the scenario.
upstream_setting() { sed -n "/^\[upstreams\]/,/^\[callers\]/s/^$1 = //p" "$file" | tr -d '[]" '; }
FLEET_INSTANCES=${FLEET_INSTANCES:-36}
FLEET_SEED=${2:-1}
FLEET_UPSTREAMS=$(upstream_setting count)
FLEET_SLOTS=$(upstream_setting slots)
FLEET_CONNECTIONS=$(upstream_setting connections)
FLEET_ZONES=$(upstream_setting zones)
FLEET_SERVICE=$(sed -n 's/^service = "\(.*\)"/\1/p' "$file" | head -n 1)
# shellcheck source=scripts/fleet.sh
source scripts/fleet.sh
trap fleet_cleanup EXIT

target=(--direct)
if [[ ${MODE:-fleet} == direct ]]; then
    fleet_start_simulators
    sleep 0.5
    fleet_check_running
else
    fleet_start
    sleep "${SETTLE:-5}" # the instances agree on the membership after a few heartbeats
    target=(--entries "$(fleet_entries)")
fi
"$FLEET_BIN/lspar-load" --scenario "$file" --seed "$FLEET_SEED" --control "$FLEET_CONTROL" "${target[@]}" \
    ${3:+--json "$3"}
