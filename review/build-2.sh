#!/usr/bin/env bash
# Builds the programs of the scripts in review/6 to review/8: one for each case, with its stand-ins. Case 6 uses those
# of the earlier review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
build() {
  g++ -std=c++20 -O2 -Wall -Wextra -I. -pthread "${@:2}" "review/$1/scenario.cc" -lcrypto -o "review/bin/case$1"
}
build 6 review/standin/*.cc
build 7 review/standin-2/*.cc
build 8 review/standin-2/*.cc
