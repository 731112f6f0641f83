#!/usr/bin/env bash
# run.sh [NAME...]: runs the named fleet tests, or all of them, one after another. Exits with 1 if any test failed.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 1
TIMEOUT=${TIMEOUT:-60} # seconds after which a test is terminated and counts as failed
names=("$@")
if ((!$#)); then
    mapfile -t names < <(find tests/fleet -name '*.sh' ! -name lib.sh ! -name run.sh -printf '%f\n' | sed 's/\.sh$//' | sort)
fi
output=$(mktemp)
trap 'rm -f "$output"' EXIT
passed=0
failed=0
for name in "${names[@]}"; do
    started=$SECONDS
    # A test listed in KNOWN-RED.txt runs and its result is printed, but a failure is not counted.
    if timeout "$TIMEOUT" bash "tests/fleet/$name.sh" >"$output" 2>&1; then
        result=passed
        passed=$((passed + 1))
    elif grep -qx "test: fleet/$name" KNOWN-RED.txt; then
        result='failed (known, not counted)'
    else
        result=failed
        failed=$((failed + 1))
    fi
    echo "fleet/$name: $result ($((SECONDS - started)) s)"
    [[ $result == passed ]] || sed 's/^/    /' "$output"
done
echo "$passed passed, $failed failed"
((failed == 0))
