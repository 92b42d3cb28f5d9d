#!/usr/bin/env bash
# Runs clang-tidy over the product's sources. Usage: check_tidy.sh BUILD_DIR [FILE ...]
# A file that passed is skipped until it or a project header that it includes changes. doctest_main.cc is left
# out: it holds nothing but doctest's own implementation, which takes clang-tidy minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
shift
cache=${VERBENARIDGE_TIDY_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/verbenaridge-tidy}
mkdir -p "$cache"
if [ $# -gt 0 ]; then files=("$@"); else mapfile -t files < <(git ls-files '*.cc' | grep -v -e '_test\.cc$' -e '_fuzz\.cc$' -e '^cmake/'); fi
export build cache
check_one() {
  local key inputs
  inputs=$(clang++-14 -std=c++20 -I. -DASIO_STANDALONE -MM "$1" | tr -d '\\\n' | cut -d: -f2)
  # shellcheck disable=SC2086  # one word for each file, here and below
  key=$(cat $inputs .clang-tidy | sha256sum | cut -c1-40)
  [ -e "$cache/$key" ] && return 0
  # Clang 14 has coroutines but does not say so in the way that libstdc++ and Asio ask for.
  local coroutines=()
  if grep -q 'asio::awaitable' $inputs; then
    coroutines=(--extra-arg=-D__cpp_impl_coroutine=201902L --extra-arg=-DASIO_HAS_CO_AWAIT=1
                --extra-arg=-DASIO_HAS_STD_COROUTINE=1)
  fi
  clang-tidy-14 -p "$build" --quiet "${coroutines[@]}" "$1" 2>/dev/null || { echo "clang-tidy failed: $1"; return 1; }
  touch "$cache/$key"
}
export -f check_one
printf '%s\n' "${files[@]}" | xargs -P "${VERBENARIDGE_JOBS:-8}" -I{} bash -c 'check_one {}'
