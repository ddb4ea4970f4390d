#!/usr/bin/env bash
# Fails if a source file is not formatted according to .clang-format.
set -euo pipefail
cd "$(dirname "$0")/.."
source Meta/common.sh
source_files | xargs clang-format --dry-run --Werror
echo "format: clean"
