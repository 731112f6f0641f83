# Functions that run a small fleet with a simulated platform and simulated upstreams on loopback. Source this file from
# bash scripts that run in the root directory of the repository.
# shellcheck shell=bash

FLEET_BIN=${BUILD_DIR:-build}
FLEET_KEEP=${FLEET_DIR:+yes}            # a directory named by the user is not removed
FLEET_DIR=${FLEET_DIR:-$(mktemp -d)}    # generated settings, logs and process ids
# First of 1,200 ports below the ephemeral range. It depends on the process id, so that scripts that run at the same
# time are likely to use different ports.
FLEET_PORT=${FLEET_PORT:-$((20000 + $$ % 5 * 1200))}
FLEET_INSTANCES=${FLEET_INSTANCES:-6}
FLEET_ZONES=${FLEET_ZONES:-palermo,catania,messina}
FLEET_TEAM=${FLEET_TEAM:-payments}
FLEET_SERVICE=${FLEET_SERVICE:-orders}
FLEET_POLICY=${FLEET_POLICY:-group}
FLEET_UPSTREAMS=${FLEET_UPSTREAMS:-6}
FLEET_SLOTS=${FLEET_SLOTS:-6}
FLEET_CONNECTIONS=${FLEET_CONNECTIONS:-350}
FLEET_SEED=${FLEET_SEED:-1}

FLEET_UPSTREAM_PORT=$((FLEET_PORT + 1000))
FLEET_CONTROL=127.0.0.1:$((FLEET_PORT + 999))
FLEET_PLATFORM=127.0.0.1:$((FLEET_PORT + 998))
IFS=, read -r -a FLEET_ZONE_LIST <<<"$FLEET_ZONES"

# Each instance has three ports, for callers, peers and administration. The argument is the number of the instance.
fleet_callers() { echo "127.0.0.1:$((FLEET_PORT + 10 * $1))"; }
fleet_peers() { echo "127.0.0.1:$((FLEET_PORT + 10 * $1 + 1))"; }
fleet_admin() { echo "127.0.0.1:$((FLEET_PORT + 10 * $1 + 2))"; }
fleet_zone() { echo "${FLEET_ZONE_LIST[$1 % ${#FLEET_ZONE_LIST[@]}]}"; }

# Prints the caller addresses of all instances, separated by commas.
fleet_entries() {
    local n
    for ((n = 0; n < FLEET_INSTANCES; n++)); do fleet_callers "$n"; done | paste -sd, -
}

fleet_process_settings() {
    cat <<END
[instance]
zone = "$(fleet_zone "$1")"
seeds = ["$(fleet_peers 0)", "$(fleet_peers 1)"]
fault_injection = true
[listen]
callers = "$(fleet_callers "$1")"
peers = "$(fleet_peers "$1")"
admin = "$(fleet_admin "$1")"
[platform]
addresses = ["$FLEET_PLATFORM"]
[log]
level = "${FLEET_LOG_LEVEL:-info}"
format = "keyvalue"
[limits]
workers = ${FLEET_WORKERS:-1}
drain_limit_ms = ${FLEET_DRAIN_LIMIT_MS:-0}
END
}

fleet_service_settings() {
    cat <<END
[service]
team = "$FLEET_TEAM"
name = "$FLEET_SERVICE"
policy = "$FLEET_POLICY"
upstreams = $FLEET_UPSTREAMS
[limits]
slots = $FLEET_SLOTS
connections = $FLEET_CONNECTIONS
END
}

fleet_instance_list() {
    local n row='{"kind":"%s","service":"%s","address":"%s","zone":"%s","state":"live"}\n'
    {
        for ((n = 0; n < FLEET_INSTANCES; n++)); do
            # shellcheck disable=SC2059
            printf "$row" entry "" "$(fleet_peers "$n")" "$(fleet_zone "$n")"
        done
        for ((n = 0; n < FLEET_UPSTREAMS; n++)); do
            # shellcheck disable=SC2059
            printf "$row" upstream "$FLEET_SERVICE" "127.0.0.1:$((FLEET_UPSTREAM_PORT + n))" "$(fleet_zone "$n")"
        done
    } | paste -sd, - | sed 's/.*/{"instances":[&]}/'
}

# fleet_spawn NAME COMMAND...: starts a process and writes its id and its log to NAME.pid and NAME.log in FLEET_DIR.
fleet_spawn() {
    local name=$1
    shift
    "$@" >"$FLEET_DIR/$name.log" 2>&1 &
    echo $! >"$FLEET_DIR/$name.pid"
}

fleet_terminate() {
    [[ -f $FLEET_DIR/$1.pid ]] && kill -TERM "$(<"$FLEET_DIR/$1.pid")" 2>/dev/null
    return 0
}

# fleet_wait_stopped NAME: waits for the end of a process that was sent SIGTERM and returns its exit status. After 15 s,
# kills the process and returns 1.
fleet_wait_stopped() {
    local file=$FLEET_DIR/$1.pid pid tries
    [[ -f $file ]] || return 0
    pid=$(<"$file")
    rm "$file"
    for ((tries = 0; tries < 300; tries++)); do
        if ! kill -0 "$pid" 2>/dev/null; then
            wait "$pid" 2>/dev/null
            return
        fi
        sleep 0.05
    done
    echo "$1 did not stop within 15 s after SIGTERM" >&2
    kill -KILL "$pid" 2>/dev/null
    return 1
}

# Stops all processes of the fleet: the instances at the same time, then the upstreams and the platform. Returns 1 if a
# process exits with another status than 0.
fleet_stop_all() {
    local n name names=() status=0
    for ((n = 0; n < FLEET_INSTANCES; n++)); do names+=("instance$n"); done
    for name in "${names[@]}"; do fleet_terminate "$name"; done
    for name in "${names[@]}"; do fleet_wait_stopped "$name" || status=1; done
    for name in upstreams platform; do
        fleet_terminate "$name"
        fleet_wait_stopped "$name" || status=1
    done
    return "$status"
}

# Stops the fleet and removes its directory; for EXIT traps.
fleet_cleanup() {
    fleet_stop_all || true
    [[ -n $FLEET_KEEP ]] || rm -rf "$FLEET_DIR"
}

# Writes the settings of the service and the instance list, and starts the platform and the upstreams with them.
fleet_start_simulators() {
    mkdir -p "$FLEET_DIR/values/teams/$FLEET_TEAM/services"
    fleet_service_settings >"$FLEET_DIR/values/teams/$FLEET_TEAM/services/$FLEET_SERVICE.toml"
    fleet_instance_list >"$FLEET_DIR/instances.json"
    fleet_spawn platform "$FLEET_BIN/lspar-platform" --listen "$FLEET_PLATFORM" --values "$FLEET_DIR/values" \
        --instances "$FLEET_DIR/instances.json"
    fleet_spawn upstreams "$FLEET_BIN/lspar-upstream" --base-port "$FLEET_UPSTREAM_PORT" --control "$FLEET_CONTROL" \
        --count "$FLEET_UPSTREAMS" --slots "$FLEET_SLOTS" --connections "$FLEET_CONNECTIONS" \
        --service "$FLEET_SERVICE" --zones "$FLEET_ZONES" --seed "$FLEET_SEED"
}

fleet_start_instance() {
    fleet_process_settings "$1" >"$FLEET_DIR/instance$1.toml"
    fleet_spawn "instance$1" "$FLEET_BIN/laburnumspar" run --settings "$FLEET_DIR/instance$1.toml"
}

# Returns 1 and prints the end of the log if a started process has ended, for example because its port was in use.
fleet_check_running() {
    local file
    for file in "$FLEET_DIR"/*.pid; do
        if ! kill -0 "$(<"$file")" 2>/dev/null; then
            echo "$(basename "$file" .pid) has ended; last lines of its log:" >&2
            tail -n 5 "${file%.pid}.log" >&2
            return 1
        fi
    done
}

# Waits until every instance answers an address query. Returns 1 after 200 failed queries, which takes about 20 s.
fleet_wait_ready() {
    local n tries=0
    for ((n = 0; n < FLEET_INSTANCES; n++)); do
        until "$FLEET_BIN/laburnumspar" addresses --at "$(fleet_callers "$n")" --service "$FLEET_SERVICE" \
            >/dev/null 2>&1; do
            fleet_check_running || return 1
            if ((++tries > 200)); then
                echo "instance $n is not ready after 20 s; last lines of its log:" >&2
                tail -n 5 "$FLEET_DIR/instance$n.log" >&2
                return 1
            fi
            sleep 0.1
        done
    done
    # The answers could have come from another fleet on the same ports.
    fleet_check_running
}

fleet_start() {
    local n
    fleet_start_simulators
    for ((n = 0; n < FLEET_INSTANCES; n++)); do fleet_start_instance "$n"; done
    fleet_wait_ready
}
