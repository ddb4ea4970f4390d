#!/usr/bin/env bash
# Measures what callers get from a target that refuses part of its orders once, with Retry-After.
#
#   Meta/bench-pauses.sh [--retry-after S ...] [--daemons N] [--targets N] [--rate N] [--returns never|told|at-once]
#
# Exits with 1 if an order was sent inside a stated pause, answered after its deadline, ran twice, or was answered 503
# although it ran.
set -euo pipefail
exec python3 "$(dirname "$0")/Cluster/bench_pauses.py" "$@"
