#!/usr/bin/env bash
# Runs clang-tidy over the product's sources. Usage: check_tidy.sh BUILD_DIR [FILE ...]
# A file whose preprocessed inputs passed before is skipped; the cache is keyed by their hash.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
shift
cache=${VERBENARIDGE_TIDY_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/verbenaridge-tidy}
mkdir -p "$cache"
if [ $# -gt 0 ]; then files=("$@"); else mapfile -t files < <(git ls-files '*.cc' | grep -v -e '_test\.cc$' -e '_fuzz\.cc$'); fi
headers=$(git ls-files '*.h' .clang-tidy | xargs cat | sha256sum | cut -c1-16)
export build cache headers
check_one() {
  local key
  key=$(cat "$1" | sha256sum | cut -c1-32)-$headers
  [ -e "$cache/$key" ] && return 0
  clang-tidy-14 -p "$build" --quiet "$1" 2>/dev/null || { echo "clang-tidy failed: $1"; return 1; }
  touch "$cache/$key"
}
export -f check_one
printf '%s\n' "${files[@]}" | xargs -P "${VERBENARIDGE_JOBS:-8}" -I{} bash -c 'check_one {}'
