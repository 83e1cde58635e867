#!/usr/bin/env bash
# Installs, builds, starts three data centres on loopback, sends them real requests, prints what was
# served and how, and stops everything cleanly.
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${1:-debug}
scripts/install-dependencies.sh
scripts/build.sh "$preset"
build="build/$preset"
"$build/bin/hemlock-scenario" --programs="$build/bin" --work=out/demo --narrate tests/scenarios/whole-path.scenario
echo "The settings, logs and data of the demo are in out/demo."
