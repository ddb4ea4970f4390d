#!/usr/bin/env bash
# Runs all tests. A test listed in KNOWN-RED.txt may fail; it is run and printed all the same.
set -euo pipefail
cd "$(dirname "$0")/.."
source Meta/common.sh
ctest --test-dir "$build_directory" --output-on-failure --no-tests=error -j 4
