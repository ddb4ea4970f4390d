#!/usr/bin/env bash
# Compares algorithms for spreading heartbeats: bytes sent, time to reach all daemons, and reach while VMs are down.
# The last line has key=value pairs.
set -euo pipefail
cd "$(dirname "$0")/.."
source Meta/common.sh
exec "$build_directory/bin/bench-membership" "$@"
