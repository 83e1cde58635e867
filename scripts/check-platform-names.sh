#!/usr/bin/env bash
# Fails if a name from the users' platform is used outside platform/ and deploy/: only platform/ may depend on it.
set -euo pipefail
cd "$(dirname "$0")/.."
names='[^-]Attempt-Id|Server-Seal|Not-Executed|Expect-Instance|Prompt-Prefix|Token-Usage|Deadline-Ms[^"]|/hemlockchute/(readyz|config|order|report)|HEMLOCKCHUTE_BOOT|weightsMb|routeKind|pathPrefix"|maxAttempts"|kvCapacityTokens|loadsPerS\b'
found=$(git ls-files --cached --others --exclude-standard 'modules/*.h' 'modules/*.cpp' 'daemons/*' 'tools/*' 'tests/*' 'benchmarks/*' | xargs grep -nE "$names" | grep -v 'X-Deadline-Ms' || true)
[ -z "$found" ] || { echo "names of the platform outside platform/:"; echo "$found"; exit 1; }
