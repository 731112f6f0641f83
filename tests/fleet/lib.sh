# Functions shared by the tests that run a whole fleet; each test sources this file.
# shellcheck shell=bash
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 1
FLEET_PORT=${FLEET_PORT:-28000}
FLEET_INSTANCES=${FLEET_INSTANCES:-4}
# shellcheck source=scripts/fleet.sh
source scripts/fleet.sh
trap kill_fleet EXIT
mkdir -p "$FLEET_DIR"
DAEMON=$FLEET_BIN/laburnumspar
SERVICE_PATH=/teams/$FLEET_TEAM/services/$FLEET_SERVICE
WAIT_TRIES=${WAIT_TRIES:-300} # polls of wait_until, 0.1 s apart

fail() {
    echo "$*" >&2
    exit 1
}

expect_equal() { [[ $1 == "$2" ]] || fail "$3: expected '$1', got '$2'"; }

# wait_until CONDITION COMMAND...: polls a command until it succeeds; CONDITION describes it in the timeout message. The
# time limit is long, because no test checks how soon the condition becomes true.
wait_until() {
    local condition=$1 tries
    shift
    for ((tries = 0; tries < WAIT_TRIES; tries++)); do
        "$@" && return 0
        sleep 0.1
    done
    fail "timed out after $WAIT_TRIES polls waiting until $condition"
}

# Kills all processes. A graceful stop takes as long as the lifetime of an address at a caller, so only the tests of the
# graceful stop wait for it.
kill_fleet() {
    local file
    for file in "$FLEET_DIR"/*.pid; do
        [[ -f $file ]] && kill -KILL "$(<"$file")" 2>/dev/null
    done
    { wait; } 2>/dev/null # suppresses the message of bash for each killed process
    [[ -n $FLEET_KEEP ]] || rm -rf "$FLEET_DIR"
}

start_fleet() { fleet_start || fail "the fleet did not start"; }
stop_fleet() { fleet_stop_all || fail "a process did not exit with 0 after SIGTERM"; }

pid_of() { cat "$FLEET_DIR/$1.pid"; }
is_running() { kill -0 "$(pid_of "$1")" 2>/dev/null; }
log_has() { grep -q "$2" "$FLEET_DIR/$1.log"; }

# call N PATH [CURL OPTION...]: sends one request through instance N; prints status, outcome and reason.
call() {
    local n=$1 path=$2
    shift 2
    curl -s -m 20 -o /dev/null -w '%{http_code} %header{lspar-outcome} %header{lspar-reason}\n' "$@" \
        "http://$(fleet_callers "$n")/v1/call/$FLEET_SERVICE/$path"
}

# call_idempotent N PATH: like call, for a request that may be retried and has a deadline of 4 s.
call_idempotent() { call "$1" "$2" -H 'Lspar-Idempotent: true' -H 'Lspar-Deadline-Ms: 4000'; }

# send_requests COUNT: sends idempotent requests through all instances in parallel, waits for the answers and appends them
# to the file `answers`.
send_requests() {
    local i senders=()
    for ((i = 0; i < $1; i++)); do
        call_idempotent $((i % FLEET_INSTANCES)) a >>"$FLEET_DIR/answers" &
        senders+=($!)
    done
    wait "${senders[@]}"
}

# request_ids N COUNT: prints request identifiers that instance N owns, one per line.
request_ids() {
    curl -s -m 5 "http://$(fleet_callers "$1")/v1/addresses?service=$FLEET_SERVICE&ids=$2" | jq -r '.request_ids[]'
}

# execution_count KEY: prints how many times the upstreams started the request with this key.
execution_count() {
    curl -s -m 5 -d "$1" "http://$FLEET_CONTROL/control/runs" | jq --arg key "$1" '.runs[$key].started // 0'
}

dump_of() { curl -s -m 5 "http://$(fleet_admin "$1")/dump"; }
# dump_matches N FILTER: succeeds if the result of the jq filter on the dump of instance N is true.
dump_matches() { dump_of "$1" | jq -e "$2" >/dev/null 2>&1; }
all_dumps_match() {
    local n
    for ((n = 0; n < FLEET_INSTANCES; n++)); do dump_matches "$n" "$1" || return 1; done
}

# metric_sum N NAME: prints the sum of a metric of instance N over its labels.
metric_sum() {
    curl -s -m 5 "http://$(fleet_admin "$1")/metrics" | awk -v name="$2" '$1 ~ "^" name "({|$)" {sum += $2} END {print sum + 0}'
}

platform_post() { curl -s -m 5 -X POST --data-binary "${2:-}" "http://$FLEET_PLATFORM/control/$1"; }
# put_settings EXTRA: publishes the settings of the service with EXTRA appended; prints the new version.
put_settings() { platform_post "put?path=$SERVICE_PATH" "$(fleet_service_settings && echo "$1")" | jq .version; }
# Prints the jq filter for the accepted version in a dump.
accepted_version_filter() { echo ".settings[] | select(.path == \"$SERVICE_PATH\") | .accepted_version"; }
# is_version_accepted VERSION: succeeds if VERSION is the accepted one at every instance.
is_version_accepted() { all_dumps_match "$(accepted_version_filter) == $1"; }

upstream_fault() { curl -s -m 5 -X POST "http://$FLEET_CONTROL/control/fault?$1"; }
upstream_clock_ms() { curl -s -m 5 "http://$FLEET_CONTROL/control/stats" | jq .clock_ms; }
upstream_stat() { curl -s -m 5 "http://$FLEET_CONTROL/control/stats" | jq ".upstreams[$1].$2"; }
upstream_total() { curl -s -m 5 "http://$FLEET_CONTROL/control/stats" | jq "[.upstreams[].$1] | add"; }
