#!/usr/bin/env bash
# scale.sh [SECONDS [COUNT...]]: measures the overhead of an idle instance in fleets of COUNT processes: bytes/s of
# heartbeats (sent and received, UDP payload), share of a core, and resident memory, as means over the instances.
set -euo pipefail
cd "$(dirname "$0")/.."
SECONDS_TO_RUN=${1:-10}
shift || true
COUNTS=("$@")
((${#COUNTS[@]})) || COUNTS=(10 20 40 80 160)
FLEET_PORT=${FLEET_PORT:-21000}
FLEET_UPSTREAMS=20
FLEET_LOG_LEVEL=warning
# shellcheck source=scripts/fleet.sh
source scripts/fleet.sh
trap fleet_cleanup EXIT
# The ports of the simulated platform and upstreams must not overlap with those of 160 instances.
FLEET_UPSTREAM_PORT=$((FLEET_PORT + 3000))
FLEET_CONTROL=127.0.0.1:$((FLEET_PORT + 2999))
FLEET_PLATFORM=127.0.0.1:$((FLEET_PORT + 2998))

gossip_bytes() {
    local n
    for ((n = 0; n < FLEET_INSTANCES; n++)); do
        "$FLEET_BIN/laburnumspar" dump --metrics --admin "$(fleet_admin "$n")"
    done | awk '/^lspar_gossip_(sent|received)_bytes_total/ { sum += $2 } END { printf "%d\n", sum }'
}

cpu_ticks() {
    local n
    for ((n = 0; n < FLEET_INSTANCES; n++)); do
        awk '{ print $14 + $15 }' "/proc/$(<"$FLEET_DIR/instance$n.pid")/stat"
    done | awk "{ sum += \$1 } END { print sum }"
}

resident_kb() {
    local n
    for ((n = 0; n < FLEET_INSTANCES; n++)); do
        awk '/^VmRSS/ { print $2 }' "/proc/$(<"$FLEET_DIR/instance$n.pid")/status"
    done | awk "{ sum += \$1 } END { print sum }"
}

echo "processes  gossip bytes/s  % of a core  resident MB"
for FLEET_INSTANCES in "${COUNTS[@]}"; do
    fleet_start
    sleep 8
    bytes=$(gossip_bytes)
    ticks=$(cpu_ticks)
    started_ns=$(date +%s%N)
    sleep "$SECONDS_TO_RUN"
    ticks=$(($(cpu_ticks) - ticks))
    bytes=$(($(gossip_bytes) - bytes))
    ms=$((($(date +%s%N) - started_ns) / 1000000))
    awk -v n="$FLEET_INSTANCES" -v b="$bytes" -v t="$ticks" -v ms="$ms" -v kb="$(resident_kb)" -v hz="$(getconf CLK_TCK)" \
        'BEGIN { printf "%9d  %14.0f  %11.2f  %11.1f\n", n, b * 1000 / ms / n, t / hz * 100000 / ms / n, kb / 1024 / n }'
    fleet_stop_all
done
