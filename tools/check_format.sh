#!/usr/bin/env bash
# Fails if a source file differs from clang-format's output.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files '*.h' '*.cc' | xargs -r clang-format-14 --dry-run -Werror
