#!/usr/bin/env bash
# faultsoak.sh FIRST LAST [SECONDS] [JOBS]: runs the fault soak with these seeds, each with real processes on loopback.
# Prints one line a seed and keeps the directory of each seed that failed. Exit 1 if any failed.
set -uo pipefail
cd "$(dirname "$0")/.."
first=${1:?first seed}
last=${2:?last seed}
seconds=${3:-15}
jobs=${4:-3}
build=${BUILD_DIR:-build}
work=${SOAK_DIR:-$(mktemp -d)}
run_seed() {
    local seed=$1 directory=$work/seed$1
    mkdir -p "$directory"
    # Seeds that run beside each other use other ports.
    if "$build/lspar-soak" --program "$build/laburnumspar" --directory "$directory" --seed "$seed" \
        --seconds "$seconds" --base-port $((21000 + seed % 500 * 10)) >"$directory/soak.log" 2>&1; then
        tail -n 1 "$directory/soak.log"
        rm -rf "$directory"
    else
        echo "seed $seed FAILED, logs in $directory"
        grep -E '^BROKEN|lspar-soak:' "$directory/soak.log" | head -n 5
        return 1
    fi
}
export -f run_seed
export work build seconds
seq "$first" "$last" | xargs -P "$jobs" -I{} bash -c 'run_seed {}'
status=$?
echo "fault soak, seeds $first to $last: $( ((status == 0)) && echo passed || echo FAILED)"
exit "$status"
