#!/usr/bin/env bash
# Runs 14 daemons and 20 targets as real processes under a mixed load and injects random faults: kills, pauses, silent
# connections, requests that crash targets, and store outages. The random seed is printed first.
#
#   Meta/bench-faults.sh [--seed N] [--seconds N] [--rate N] [--daemons N] [--targets N]
#
# Exits with 1 if a response was wrong or cut, a request that was refused as not run had run, or an order ran
# twice.
set -euo pipefail
exec python3 "$(dirname "$0")/Cluster/bench_faults.py" "$@"
