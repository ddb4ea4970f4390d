#!/usr/bin/env bash
# Runs the whole system on loopback under a mixed load and prints what the callers saw in its last line.
#
#   Meta/run.sh [--seconds N] [--keep] [--kill daemon|target|store] [--rate N] [--daemons N] [--seed N]
#
# Exits with 1 when an answer was wrong, or an order was lost or doubled.
set -euo pipefail
exec python3 "$(dirname "$0")/Cluster/run.py" "$@"
