#!/usr/bin/env bash
# Installs the dependencies, builds, and runs every test. Exits with 0 only if all tests pass; those listed in
# KNOWN-RED.txt are not counted.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
scripts/build.sh
# Each entry of KNOWN-RED.txt starts with "test: NAME". Exactly these tests are skipped, and their names are printed.
known_failures=$(sed -n 's/^test: //p' KNOWN-RED.txt | paste -sd'|' -)
if [ -n "$known_failures" ]; then
    echo "known failures, not counted: ${known_failures//|/ }"
    ctest --test-dir build --output-on-failure -j 4 -E "^(${known_failures})\$"
else
    ctest --test-dir build --output-on-failure -j 4
fi
tests/fleet/run.sh
scripts/soak.sh 1 20
# Seeds with which the fault soak has failed in the past, then seed 1.
for seed in $(cut -d' ' -f1 tests/soakseeds.txt) 1; do
    scripts/faultsoak.sh "$seed" "$seed" 15 1
done
# Planned stops without any fault, under requests that may outlast them.
scripts/faultsoak.sh 1 1 16 1 --stops --instances 3 --upstreams 12 --callers 12
