#!/usr/bin/env bash
# Regenerates the committed Cap'n Proto code: scripts/generate.sh [OUTPUT-FOLDER]
set -euo pipefail
cd "$(dirname "$0")/.."
output=${1:-.}
mkdir -p "$output"
mapfile -t schemas < <(git ls-files --cached --others --exclude-standard '*.capnp')
[ "${#schemas[@]}" -eq 0 ] || capnp compile -oc++:"$output" "${schemas[@]}"
