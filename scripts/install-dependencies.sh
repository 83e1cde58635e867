#!/usr/bin/env bash
# Installs the Debian packages that are needed for building, checking and testing.
set -euo pipefail

packages=(
    g++ cmake ninja-build ccache clang-format clang-tidy shellcheck
    libboost1.81-dev libboost-log1.81-dev libboost-test1.81-dev
    libboost-json1.81-dev libboost-url1.81-dev libboost-thread1.81-dev
    libboost-filesystem1.81-dev libboost-system1.81-dev
    capnproto libcapnp-dev libdocopt-dev libexpected-dev
    libtomlplusplus-dev librapidcheck-dev libxxhash-dev libssl-dev
)

missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -eq 0 ]; then
    echo "All dependencies are installed."
    exit 0
fi
as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
"${as_root[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${as_root[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}"
