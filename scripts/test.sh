#!/usr/bin/env bash
# Installs what is needed, builds, and runs every test. Exits 0 only if all pass but those in KNOWN-RED.txt.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
scripts/build.sh
# Each entry of KNOWN-RED.txt starts with "test: NAME"; exactly these are passed over and printed.
red=$(sed -n 's/^test: //p' KNOWN-RED.txt | paste -sd'|' -)
if [ -n "$red" ]; then
    echo "known failures, not counted: ${red//|/ }"
    ctest --test-dir build --output-on-failure -j 4 -E "^(${red})\$"
else
    ctest --test-dir build --output-on-failure -j 4
fi
tests/fleet/run.sh
scripts/soak.sh 1 20
# Seeds of the fault soak that ever failed, then one more.
for seed in $(cut -d' ' -f1 tests/soakseeds.txt) 1; do
    scripts/faultsoak.sh "$seed" "$seed" 15 1
done
