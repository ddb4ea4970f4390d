#!/usr/bin/env bash
# Runs 14 daemons and 20 targets as real processes under a mixed load, with kills, pauses, silent connections, requests
# that crash targets, and store outages drawn from a seed, which is printed first.
#
#   Meta/bench-faults.sh [--seed N] [--seconds N] [--rate N] [--daemons N] [--targets N]
#
# Exits with 1 when an answer was wrong or cut, a refusal as not run was false, or an order ran twice.
set -euo pipefail
exec python3 "$(dirname "$0")/Cluster/bench_faults.py" "$@"
