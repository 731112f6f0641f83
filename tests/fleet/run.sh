#!/usr/bin/env bash
# run.sh [NAME...]: runs the fleet tests one after another, all or the named ones. Exit 1 if any failed.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 1
LIMIT=60 # seconds after which a test that hangs counts as failed
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
    # An entry of KNOWN-RED.txt is run and printed, but not counted.
    if timeout "$LIMIT" bash "tests/fleet/$name.sh" >"$output" 2>&1; then
        verdict=passed
        passed=$((passed + 1))
    elif grep -qx "test: fleet/$name" KNOWN-RED.txt; then
        verdict='failed (known, not counted)'
    else
        verdict=failed
        failed=$((failed + 1))
    fi
    echo "fleet/$name: $verdict ($((SECONDS - started)) s)"
    [[ $verdict == passed ]] || sed 's/^/    /' "$output"
done
echo "$passed passed, $failed failed"
((failed == 0))
