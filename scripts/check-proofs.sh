#!/usr/bin/env bash
# Fails if docs/PROOFS.md names a test case or scenario that does not exist.
set -euo pipefail
cd "$(dirname "$0")/.."
status=0
# The backquotes below are part of the Markdown syntax.
# shellcheck disable=SC2016
while IFS= read -r name; do
    case "$name" in
    *.scenario) [ -f "tests/scenarios/$name" ] || { echo "no scenario $name"; status=1; } ;;
    */*)
        suite=${name%%/*}
        case=${name##*/}
        grep -rqE "BOOST_(AUTO|FIXTURE)_TEST_SUITE\($suite\b" modules platform tests --include='*.cpp' || { echo "no test suite $suite"; status=1; }
        grep -rqE "BOOST_(AUTO|FIXTURE|DATA)_TEST_CASE\($case\b" modules platform tests --include='*.cpp' || { echo "no test case $case"; status=1; }
        ;;
    esac
done < <(grep -oE '`[A-Za-z]+Tests/[A-Za-z0-9]+`|`[a-z0-9-]+\.scenario`' docs/PROOFS.md | tr -d '`' | sort -u)
exit $status
