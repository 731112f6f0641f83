#!/usr/bin/env bash
# soak.sh [SEED [SECONDS]]: runs a small fleet of real processes under load with random faults: kills, pauses, graceful
# restarts, one-way partitions, gray upstreams, settings changes, an absent or stale platform. The promises to callers
# are checked from outside, the invariants inside of each process. Exit 0, or 1 with the seed and the steps taken.
set -euo pipefail
cd "$(dirname "$0")/.."
SEED=${1:-1}
SECONDS_TO_RUN=${2:-20}
RANDOM=$SEED
FLEET_INSTANCES=9
FLEET_UPSTREAMS=9
FLEET_SEED=$SEED
FLEET_PORT=${FLEET_PORT:-27000}
# shellcheck source=scripts/fleet.sh
source scripts/fleet.sh
trap fleet_cleanup EXIT
mkdir -p "$FLEET_DIR"
STEPS=$FLEET_DIR/steps
: >"$STEPS"
failed=0

step() { echo "$*" >>"$STEPS"; }
pid_of() { cat "$FLEET_DIR/instance$1.pid"; }
admin_post() { curl -s -m 2 -o /dev/null -X POST -d "$3" "http://$(fleet_admin "$1")$2" || true; }
platform_post() { curl -s -m 2 -o /dev/null -X POST -d "${2:-}" "http://$FLEET_PLATFORM/control/$1" || true; }
upstream_fault() { curl -s -m 2 -o /dev/null -X POST "http://$FLEET_CONTROL/control/fault?$1" || true; }

# A process may end by the signals that this script sends, but never by one of its own.
check_end() {
    local status=0
    wait "$2" 2>/dev/null || status=$?
    case $status in
    0 | 137) ;;
    *)
        echo "instance $1 ended with status $status; last lines of its log:" >&2
        tail -n 5 "$FLEET_DIR/instance$1.log" >&2
        failed=1
        ;;
    esac
}

restart() {
    local pid
    pid=$(pid_of "$1")
    kill "-$2" "$pid" 2>/dev/null || true
    check_end "$1" "$pid"
    fleet_start_instance "$1"
}

pause() {
    local pid
    pid=$(pid_of "$1")
    kill -STOP "$pid" 2>/dev/null || return 0
    sleep "$2"
    kill -CONT "$pid"
}

changed_settings() {
    FLEET_QUEUE=$1
    fleet_service_settings
    echo "queue = $FLEET_QUEUE"
}

random_fault() {
    local n=$((RANDOM % FLEET_INSTANCES)) m=$((RANDOM % FLEET_INSTANCES)) u=$((RANDOM % FLEET_UPSTREAMS))
    local kinds=(slow blackhole failwork flap wrong truncate shed refuse drain cold)
    local kind=${kinds[RANDOM % ${#kinds[@]}]} choice=$((RANDOM % 9)) t=$((RANDOM % 3 + 1))
    case $choice in
    0) step "kill $n" && restart "$n" KILL ;;
    1) step "graceful restart $n" && restart "$n" TERM ;;
    2) step "pause $n for $t s" && pause "$n" "$t" ;;
    3) step "one-way partition $n to $m" && admin_post "$n" /faults "{\"outgoing\":[\"$(fleet_peers "$m")\"]}" ;;
    4) step "partition $n from upstream $u" &&
        admin_post "$n" /faults "{\"outgoing\":[\"127.0.0.1:$((FLEET_UPSTREAM_PORT + u))\"]}" ;;
    5) step "end of partitions of $n" && admin_post "$n" /faults '{}' ;;
    6) step "upstream $u $kind for $t s" &&
        upstream_fault "upstream=$u&kind=$kind&factor=20&for_ms=${t}000" ;;
    7) step "platform away $((t % 2))" && platform_post "away?on=$((t % 2))" ;;
    8) step "settings change $t" &&
        platform_post "put?path=/teams/$FLEET_TEAM/services/$FLEET_SERVICE" \
            "$(FLEET_SLOTS=$((FLEET_SLOTS)) changed_settings $((t * 100)))" ;;
    esac
}

fleet_start
sleep 3
sed "s/^duration_ms = .*/duration_ms = ${SECONDS_TO_RUN}000/" bench/scenarios/soak.toml >"$FLEET_DIR/soak.toml"
"$FLEET_BIN/lspar-load" --scenario "$FLEET_DIR/soak.toml" --seed "$SEED" --entries "$(fleet_entries)" \
    --control "$FLEET_CONTROL" >"$FLEET_DIR/load.txt" 2>&1 &
load=$!
while kill -0 "$load" 2>/dev/null; do
    random_fault
    sleep 0.$((RANDOM % 8 + 1))
done
status=0
wait "$load" || status=$?
cat "$FLEET_DIR/load.txt"
platform_post "away?on=0"
for ((n = 0; n < FLEET_INSTANCES; n++)); do
    kill -TERM "$(pid_of "$n")" 2>/dev/null || true
done
for ((n = 0; n < FLEET_INSTANCES; n++)); do
    check_end "$n" "$(pid_of "$n")"
    rm "$FLEET_DIR/instance$n.pid"
done
if ((status != 0 || failed != 0)); then
    echo "soak failed with seed $SEED; steps:" >&2
    cat "$STEPS" >&2
    exit 1
fi
echo "soak passed: seed $SEED, $(wc -l <"$STEPS") faults"
