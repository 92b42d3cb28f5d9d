#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O2 -Wall -Wextra -Wno-missing-field-initializers -I. -pthread)
for part in rig scenario; do
  g++ "${flags[@]}" -c "review/standin-3/$part.cc" -o "$out/$part.o"
done
for program in deadly_part hang memory stop; do
  g++ "${flags[@]}" "review/standin-3/$program.cc" "$out/rig.o" "$out/scenario.o" -o "$out/$program"
done
