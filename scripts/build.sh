#!/usr/bin/env bash
# Configures and builds one CMake preset: scripts/build.sh [debug|release|asan|tsan]
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${1:-debug}
jobs=${HEMLOCKCHUTE_JOBS:-$(nproc)}
cmake --preset "$preset" >/dev/null
cmake --build --preset "$preset" -- -j "$jobs"
