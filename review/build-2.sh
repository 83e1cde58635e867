#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 are stage2.py and the case.py of each folder: Python, standard library only, nothing to compile.
# Checks that Python is there and reads them, and that the build of the deploy file has made the two daemons.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - review/stage2.py review/{6,7,8,9,10}/case.py <<'PYTHON'
import os
import sys

if sys.version_info < (3, 9):
    sys.exit("python3 is too old: " + sys.version)
for path in sys.argv[1:]:
    if os.path.exists(path):
        with open(path, encoding="utf-8") as file:
            compile(file.read(), path, "exec")
PYTHON
for program in hemlock-gateway hemlock-coordinator; do
    [ -x "target/bin/$program" ] || { echo "target/bin/$program is missing: run the build of deploy/system.toml first"; exit 1; }
done
