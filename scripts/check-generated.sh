#!/usr/bin/env bash
# Fails if the committed Cap'n Proto code differs from the code generated from the schemas.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! command -v capnp >/dev/null; then
    echo "SKIPPED: capnp is not installed, so the committed generated code is not compared."
    exit 0
fi
fresh=$(mktemp -d)
trap 'rm -rf "$fresh"' EXIT
scripts/generate.sh "$fresh"
status=0
while IFS= read -r generated; do
    cmp -s "$fresh/$generated" "$generated" || { echo "$generated is stale: run scripts/generate.sh"; status=1; }
done < <(cd "$fresh" && find . -name '*.capnp.*' -printf '%P\n')
exit $status
