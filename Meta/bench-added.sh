#!/usr/bin/env bash
# Measures the latency that a daemon adds at p99, against the same fake targets directly, at rest and during settings
# changes. The last line has the worse of the two and the requests for each second of processor time.
#
#   Meta/bench-added.sh [--rate N] [--seconds N] [--rounds N] [--daemons N] [--lookup-ms N]
set -euo pipefail
exec python3 "$(dirname "$0")/Cluster/bench_added.py" "$@"
