#!/usr/bin/env bash
# Runs the whole system on loopback under a mixed load. The last line has the callers' results.
#
#   Meta/run.sh [--seconds N] [--keep] [--kill daemon|target|store] [--rate N] [--daemons N] [--seed N]
#
# Exits with 1 if a response was wrong, or an order was lost or ran twice.
set -euo pipefail
exec python3 "$(dirname "$0")/Cluster/run.py" "$@"
