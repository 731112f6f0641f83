#!/usr/bin/env bash
# sanitize.sh address|thread [NAME...]: builds with the address and undefined-behaviour sanitizers in build-asan/, or with
# the thread sanitizer in build-tsan/, and runs the named tests: test_NAME and fuzz_NAME of the build, fleet/NAME, and
# soak (planned stops, with the seed and seconds of SOAK_SEED and SOAK_SECONDS). Without names: all unit tests, fuzzers,
# fleet tests and the soak; with the thread sanitizer only those in which threads share state. Prints each report and
# exits with 1 if a test failed or any process, also one that a test has killed, left a report.
set -uo pipefail
cd "$(dirname "$0")/.." || exit 1
kind=${1:-}
shift
case $kind in
address)
    export BUILD_DIR=build-asan
    sanitizers=address,undefined
    ;;
thread)
    export BUILD_DIR=build-tsan
    sanitizers=thread
    ;;
*)
    echo "usage: sanitize.sh address|thread [NAME...]" >&2
    exit 2
    ;;
esac
# Threads share state in the product's own interface (workers of an instance, metrics, log), whose whole processes the
# fleet tests run, and in the gateway between its event loop and the worker that decodes the routes.
threaded=(test_metrics test_log test_storefollower test_storecopy test_oddentries test_rejectedreplies test_storeloss
    test_stalepeers fleet/malformedtraffic fleet/rejectedsettings fleet/pausedinstance fleet/platformreload soak)

names=("$@")
if ((${#names[@]} == 0)); then
    if [[ $kind == thread ]]; then
        names=("${threaded[@]}")
    else
        mapfile -t names < <(
            find tests/test_*.cpp fuzz/fuzz_*.cpp -printf '%f\n' | sed 's/\.cpp$//'
            find tests/fleet -name '*.sh' ! -name lib.sh ! -name run.sh -printf 'fleet/%f\n' | sed 's/\.sh$//'
        )
        names+=(soak)
    fi
fi

targets=()
for name in "${names[@]}"; do
    case $name in
    fleet/*) targets+=(laburnumspar lspar-platform lspar-upstream lspar-load) ;;
    soak) targets+=(laburnumspar lspar-soak) ;;
    *) targets+=("$name") ;;
    esac
done
export CCACHE_SLOPPINESS=pch_defines,time_macros,include_file_mtime,include_file_ctime
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
cmake -S . -B "$BUILD_DIR" -G Ninja -DLSPAR_SANITIZE="$sanitizers" >/dev/null || exit 1
mapfile -t targets < <(printf '%s\n' "${targets[@]}" | sort -u)
cmake --build "$BUILD_DIR" -j "${JOBS:-10}" --target "${targets[@]}" || exit 1

# Reports go to files, because fleet tests remove the output of their processes.
reports=$(mktemp -d)
export ASAN_OPTIONS=log_path=$reports/address:detect_stack_use_after_return=1:strict_string_checks=1
export UBSAN_OPTIONS=log_path=$reports/undefined:print_stacktrace=1:halt_on_error=1
export TSAN_OPTIONS=log_path=$reports/thread:second_deadlock_stack=1
output=$reports.out
failed=0
run() {
    case $1 in
    fleet/*) TIMEOUT=300 tests/fleet/run.sh "${1#fleet/}" ;;
    soak)
        scripts/faultsoak.sh "${SOAK_SEED:-1}" "${SOAK_SEED:-1}" "${SOAK_SECONDS:-16}" 1 \
            --stops --instances 3 --upstreams 12 --callers 12
        ;;
    *) timeout 900 "$BUILD_DIR/$1" ;;
    esac
}
for name in "${names[@]}"; do
    started=$SECONDS
    result=passed
    if ! run "$name" >"$output" 2>&1; then
        result=failed
        tail -n 40 "$output" | sed 's/^/    /'
    fi
    count=$(find "$reports" -type f | wc -l)
    if ((count > 0)); then
        result="$result, $count reports"
        find "$reports" -type f -exec head -n 60 {} + -delete
    fi
    [[ $result == passed ]] || failed=$((failed + 1))
    echo "$name with $sanitizers: $result ($((SECONDS - started)) s)"
done
rm -rf "$reports" "$output"
echo "${#names[@]} tests with $sanitizers, $failed failed"
((failed == 0))
