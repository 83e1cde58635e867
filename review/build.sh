#!/usr/bin/env bash
# Builds the programs that the scripts of the review start, into target/review. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
out=../target/review
mkdir -p "$out"

# A case is a header, as CI lints each .cpp against the project's own build.
build() {
    printf '#include "%s"\n\nint main(int argc, char** argv)\n{\n    return review::runCase(argc, argv);\n}\n' "$1" >"$out/$2.cpp"
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -I. "$out/$2.cpp" -o "$out/$2"
}

build 1/LostChange.h case-1
build 2/LostQuorum.h case-2
build 4/EndlessChunk.h case-4
build 5/LongBodies.h case-5
