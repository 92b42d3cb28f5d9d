#!/usr/bin/env bash
# Builds the programs of the scripts in review/: the stand-ins and the cases, one program each.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for folder in review/[1-5]; do
  [ -e "$folder/scenario.cc" ] || continue
  g++ -std=c++20 -O2 -Wall -Wextra -I. -pthread review/standin/*.cc "$folder/scenario.cc" \
    -o "review/bin/case$(basename "$folder")"
done
