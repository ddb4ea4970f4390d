#!/usr/bin/env bash
# Simulates good and bad versions under a move: on time, taken back, share, time to detect. Last line: key=value.
set -euo pipefail
cd "$(dirname "$0")/.."
source Meta/common.sh
exec "$build_directory/bin/bench-moves" "$@"
