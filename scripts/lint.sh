#!/usr/bin/env bash
# lint.sh [SOURCE...]: checks the formatting of all sources, then runs clang-tidy on the named sources, or on those in
# src/ and tools/.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t all < <(git ls-files -co --exclude-standard '*.h' '*.cpp')
clang-format --dry-run -Werror "${all[@]}"
cmake -S . -B build/lint -G Ninja -DLSPAR_PCH=OFF >/dev/null
if (($#)); then
    sources=("$@")
else
    mapfile -t sources < <(git ls-files -co --exclude-standard 'src/*.cpp' 'tools/*.cpp' | grep -v asioimpl)
fi
# clang 14 supports coroutines but does not define the feature macro that the standard library of g++ 12 checks.
printf '%s\n' "${sources[@]}" | xargs -P "${JOBS:-10}" -n 1 clang-tidy --quiet -p build/lint \
    --extra-arg=-D__cpp_impl_coroutine=201902L --extra-arg=-Wno-builtin-macro-redefined \
    --extra-arg=-Wno-unknown-warning-option
