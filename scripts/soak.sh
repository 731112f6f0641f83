#!/usr/bin/env bash
# soak.sh [SEED [SECONDS]]: runs a small fleet of real processes under load with random faults: kills, pauses, graceful
# restarts, one-way partitions, faulty upstreams, settings changes, an unavailable platform. The load generator checks
# the guarantees to callers; each process checks its invariants. Exits with 0, or with 1 after printing the seed and the
# injected faults.
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

record_step() { echo "$*" >>"$STEPS"; }
pid_of() { cat "$FLEET_DIR/instance$1.pid"; }
admin_post() { curl -s -m 2 -o /dev/null -X POST -d "$3" "http://$(fleet_admin "$1")$2" || true; }
platform_post() { curl -s -m 2 -o /dev/null -X POST -d "${2:-}" "http://$FLEET_PLATFORM/control/$1" || true; }
upstream_fault() { curl -s -m 2 -o /dev/null -X POST "http://$FLEET_CONTROL/control/fault?$1" || true; }

# check_exit N PID: waits for the end of instance N. Exit status 0 or death by the SIGKILL of this script (137) is
# expected; any other status makes the run fail.
check_exit() {
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
    check_exit "$1" "$pid"
    fleet_start_instance "$1"
}

pause() {
    local pid
    pid=$(pid_of "$1")
    kill -STOP "$pid" 2>/dev/null || return 0
    sleep "$2"
    kill -CONT "$pid"
}

service_settings_with_queue() {
    FLEET_QUEUE=$1
    fleet_service_settings
    echo "queue = $FLEET_QUEUE"
}

random_fault() {
    local n=$((RANDOM % FLEET_INSTANCES)) m=$((RANDOM % FLEET_INSTANCES)) u=$((RANDOM % FLEET_UPSTREAMS))
    local kinds=(slow blackhole failwork flap wrong truncate shed refuse drain cold)
    local kind=${kinds[RANDOM % ${#kinds[@]}]} choice=$((RANDOM % 9)) t=$((RANDOM % 3 + 1))
    case $choice in
    0) record_step "kill $n" && restart "$n" KILL ;;
    1) record_step "graceful restart $n" && restart "$n" TERM ;;
    2) record_step "pause $n for $t s" && pause "$n" "$t" ;;
    3) record_step "one-way partition $n to $m" && admin_post "$n" /faults "{\"outgoing\":[\"$(fleet_peers "$m")\"]}" ;;
    4) record_step "partition $n from upstream $u" &&
        admin_post "$n" /faults "{\"outgoing\":[\"127.0.0.1:$((FLEET_UPSTREAM_PORT + u))\"]}" ;;
    5) record_step "remove the partitions of $n" && admin_post "$n" /faults '{}' ;;
    6) record_step "upstream $u $kind for $t s" &&
        upstream_fault "upstream=$u&kind=$kind&factor=20&for_ms=${t}000" ;;
    7) record_step "set platform away=$((t % 2))" && platform_post "away?on=$((t % 2))" ;;
    8) record_step "change settings: queue = $((t * 100))" &&
        platform_post "put?path=/teams/$FLEET_TEAM/services/$FLEET_SERVICE" \
            "$(FLEET_SLOTS=$((FLEET_SLOTS)) service_settings_with_queue $((t * 100)))" ;;
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
    check_exit "$n" "$(pid_of "$n")"
    rm "$FLEET_DIR/instance$n.pid"
done
if ((status != 0 || failed != 0)); then
    echo "soak failed with seed $SEED; steps:" >&2
    cat "$STEPS" >&2
    exit 1
fi
echo "soak passed: seed $SEED, $(wc -l <"$STEPS") faults"
