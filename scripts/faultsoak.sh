#!/usr/bin/env bash
# faultsoak.sh FIRST LAST [SECONDS] [JOBS] [OPTION...]: runs the soak for each seed from FIRST to LAST, with real processes
# on loopback and the options of lspar-soak, for example --stops. Prints one line per seed and keeps the directories of
# failed seeds. Exits with 1 if any seed failed.
set -uo pipefail
cd "$(dirname "$0")/.."
first=${1:?first seed}
last=${2:?last seed}
seconds=${3:-15}
jobs=${4:-3}
options=${*:5}
build=${BUILD_DIR:-build}
work_dir=${SOAK_DIR:-$(mktemp -d)}
run_seed() {
    local seed=$1 directory=$work_dir/seed$1
    mkdir -p "$directory"
    # Seeds that run in parallel use different ports.
    if "$build/lspar-soak" --program "$build/laburnumspar" --directory "$directory" --seed "$seed" \
        --seconds "$seconds" --base-port $((21000 + seed % 500 * 10)) $options >"$directory/soak.log" 2>&1; then
        tail -n 1 "$directory/soak.log"
        rm -rf "$directory"
    else
        echo "seed $seed FAILED, logs in $directory"
        grep -E '^BROKEN|lspar-soak:' "$directory/soak.log" | head -n 5
        return 1
    fi
}
export -f run_seed
export work_dir build seconds options
seq "$first" "$last" | xargs -P "$jobs" -I{} bash -c 'run_seed {}'
status=$?
echo "soak${options:+ with $options}, seeds $first to $last: $( ((status == 0)) && echo passed || echo FAILED)"
exit "$status"
