#!/usr/bin/env bash
# Measures the p99 latency that a daemon adds compared with calling the same fake targets directly, both without and
# with settings changes. The last line has the worse of the two and the requests per second of processor time.
#
#   Meta/bench-added.sh [--rate N] [--seconds N] [--rounds N] [--daemons N] [--lookup-ms N]
set -euo pipefail
exec python3 "$(dirname "$0")/Cluster/bench_added.py" "$@"
