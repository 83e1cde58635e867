#!/usr/bin/env bash
# Installs dependencies, builds, starts three data centres on loopback addresses, sends requests to them,
# prints the results and stops all processes cleanly.
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${1:-debug}
scripts/install-dependencies.sh
scripts/build.sh "$preset"
build="build/$preset"
"$build/bin/hemlock-scenario" --programs="$build/bin" --work=out/demo --narrate tests/scenarios/whole-path.scenario
echo "The settings, logs and data of the demo are in out/demo."
