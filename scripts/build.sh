#!/usr/bin/env bash
# Configures and builds everything in build/ (or in the directory named by BUILD_DIR).
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
# ccache handles precompiled headers only with this sloppiness; the other two settings let clones share the cache.
export CCACHE_SLOPPINESS=pch_defines,time_macros,include_file_mtime,include_file_ctime
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
cmake -S . -B "$build" -G Ninja "$@" >"/dev/null"
cmake --build "$build" -j "${JOBS:-10}"
