#!/usr/bin/env bash
# experiment.sh POOL/SCENARIO [SEED] [JSON]: runs a scenario of bench/scenarios/ through a fleet on loopback, with the
# upstreams that the scenario states. FLEET_INSTANCES (default 36) and FLEET_POLICY (group or local) are respected.
# MODE=direct: without the fleet. Exit codes of lspar-load.
set -euo pipefail
cd "$(dirname "$0")/.."
file=bench/scenarios/$1.toml
stated() { sed -n "/^\[upstreams\]/,/^\[callers\]/s/^$1 = //p" "$file" | tr -d '[]" '; }
FLEET_INSTANCES=${FLEET_INSTANCES:-36}
FLEET_SEED=${2:-1}
FLEET_UPSTREAMS=$(stated count)
FLEET_SLOTS=$(stated slots)
FLEET_CONNECTIONS=$(stated connections)
FLEET_ZONES=$(stated zones)
FLEET_SERVICE=$(sed -n 's/^service = "\(.*\)"/\1/p' "$file" | head -n 1)
# shellcheck source=scripts/fleet.sh
source scripts/fleet.sh
trap fleet_cleanup EXIT

target=(--direct)
if [[ ${MODE:-fleet} == direct ]]; then
    fleet_start_stand_ins
    sleep 0.5
    fleet_check_running
else
    fleet_start
    sleep "${SETTLE:-5}" # the membership agrees within a few heartbeats
    target=(--entries "$(fleet_entries)")
fi
"$FLEET_BIN/lspar-load" --scenario "$file" --seed "$FLEET_SEED" --control "$FLEET_CONTROL" "${target[@]}" \
    ${3:+--json "$3"}
