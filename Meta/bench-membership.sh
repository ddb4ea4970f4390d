#!/usr/bin/env bash
# Compares ways to spread heartbeats: bytes, time to reach all, reach with failed VMs. Last line: key=value.
set -euo pipefail
cd "$(dirname "$0")/.."
source Meta/common.sh
exec "$build_directory/bin/bench-membership" "$@"
