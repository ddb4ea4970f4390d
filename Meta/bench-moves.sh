#!/usr/bin/env bash
# Simulates moves to good and bad versions. Reports how many good ones finish on time and how many bad ones are taken
# back, the traffic share that bad ones reached, and the time to detect them. The last line has key=value pairs.
set -euo pipefail
cd "$(dirname "$0")/.."
source Meta/common.sh
exec "$build_directory/bin/bench-moves" "$@"
