#!/usr/bin/env bash
# Checks formatting and runs the linters on every tracked source: scripts/lint.sh [--fix-format] [FILE...]
set -euo pipefail
cd "$(dirname "$0")/.."
jobs=${HEMLOCKCHUTE_JOBS:-$(nproc)}
fix=0
if [ "${1:-}" = --fix-format ]; then
    fix=1
    shift
fi
if [ "$#" -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.h' '*.cpp' | grep -v '\.capnp\.')
fi
if [ "$fix" -eq 1 ]; then
    clang-format -i "${files[@]}"
    exit 0
fi
clang-format --dry-run --Werror "${files[@]}"
[ -f build/debug/compile_commands.json ] || cmake --preset debug >/dev/null
printf '%s\n' "${files[@]}" | grep '\.cpp$' | xargs -r -P "$jobs" -n 1 scripts/tidy-one.sh
