#!/usr/bin/env bash
# Runs clang-tidy on one source, unless none of the files that it read has changed since its last success.
set -euo pipefail
source=$1
cache=${CCACHE_DIR:-$HOME/.cache/ccache}/tidy
mkdir -p "$cache"
command=$(grep -F -A2 -B2 "$source\"" build/debug/compile_commands.json | sed -n 's/^ *"command": "\(.*\)",\?$/\1/p' | head -1 || true)
[ -n "$command" ] || { echo "$source: not built by any target" >&2; exit 1; }
flags=$(printf '%s' "$command" | sed -e 's/^[^ ]*ccache //' -e 's/ -o [^ ]* -c .*//' -e 's/^[^ ]* //' -e 's/\\"/"/g')
# shellcheck disable=SC2086
key=$(eval g++ $flags -E -P "$source" 2>/dev/null | cat - .clang-tidy | sha256sum | cut -d' ' -f1)
[ -f "$cache/$key" ] && exit 0
output=$(clang-tidy --quiet -p build/debug "$source" 2>&1) || { printf '%s\n' "$output"; exit 1; }
touch "$cache/$key"
