#!/usr/bin/env bash
# Configures the project in build/ (or in the directory named by BUILD_DIR) and builds everything, or the programs named
# in TARGETS. Arguments go to the configuration.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
# ccache handles precompiled headers only with this sloppiness; the other two settings let clones share the cache.
export CCACHE_SLOPPINESS=pch_defines,time_macros,include_file_mtime,include_file_ctime
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
cmake -S . -B "$build" -G Ninja "$@" >"/dev/null"
read -r -a targets <<<"${TARGETS:-all}"
cmake --build "$build" -j "${JOBS:-10}" --target "${targets[@]}"
