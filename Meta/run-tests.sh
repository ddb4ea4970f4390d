#!/usr/bin/env bash
# Runs all tests, after printing the known failures. The known failures are benches, so no test is passed over.
set -euo pipefail
cd "$(dirname "$0")/.."
source Meta/common.sh
[ -f KNOWN-RED.txt ] && grep -v '^#' KNOWN-RED.txt
ctest --test-dir "$build_directory" --output-on-failure --no-tests=error -j 4
