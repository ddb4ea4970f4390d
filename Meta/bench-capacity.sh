#!/usr/bin/env bash
# Measures the cost of each role of the daemon and works out the two-year size from the slopes.
#
#   Meta/bench-capacity.sh [--cores N] [--skip-request-path]
#
# The request path is measured on real processes at three rates, the other roles in one process.
set -euo pipefail
exec python3 "$(dirname "$0")/Cluster/bench_capacity.py" "$@"
