#!/usr/bin/env bash
# Fails when a source file is not formatted as .clang-format says.
set -euo pipefail
cd "$(dirname "$0")/.."
source Meta/common.sh
source_files | xargs clang-format --dry-run --Werror
echo "format: clean"
