#!/usr/bin/env bash
# Measures the cost of each role of the daemon, fits a linear model to each and computes the resources needed at the
# two-year size.
#
#   Meta/bench-capacity.sh [--cores N] [--rates R...] [--seconds N] [--request-microseconds X]
#
# The request path is measured on real processes, by default at three rates, and the other roles in one process. With
# --request-microseconds, the request path is not measured.
set -euo pipefail
exec python3 "$(dirname "$0")/Cluster/bench_capacity.py" "$@"
