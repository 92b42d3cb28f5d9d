#!/usr/bin/env bash
# Installs the Debian packages that the build, the checks and the tests need.
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache git curl jq
  libasio-dev librestinio-dev libhttp-parser-dev libfmt-dev
  libcurl4-openssl-dev libssl-dev libnghttp2-dev libmsgpack-cxx-dev
  nlohmann-json3-dev libboost-dev liblog4cxx-dev libxxhash-dev zlib1g-dev
  doctest-dev librapidcheck-dev libbenchmark-dev
  clang-14 libclang-rt-14-dev clang-format-14 clang-tidy-14
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
  export DEBIAN_FRONTEND=noninteractive
  apt-get update -q
  apt-get install -y -q "${missing[@]}"
fi
