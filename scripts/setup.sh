#!/usr/bin/env bash
# Installs the libraries and tools that the build and the tests need, unless they are already installed.
set -euo pipefail

PACKAGES=(libboost1.81-dev libboost-program-options1.81-dev libboost-test1.81-dev libboost-json1.81-dev
    libboost-system1.81-dev libcereal-dev liblog4cplus-dev libtomlplusplus-dev librapidcheck-dev libxxhash-dev
    ccache mold ninja-build curl jq)

missing=()
for package in "${PACKAGES[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if ((${#missing[@]})); then
    apt-get update -q
    DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends "${missing[@]}"
fi
