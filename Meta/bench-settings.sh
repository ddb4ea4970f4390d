#!/usr/bin/env bash
# Changes settings under faults: runs 14 daemon processes, lets two operators change settings concurrently, and injects
# random kills, pauses and store outages. The random seed is printed first. Each change is pushed to at most one daemon.
#
#   Meta/bench-settings.sh [--seed N] [--seconds N] [--daemons N]
#
# Exits with 1 if an accepted change was lost or reverted, or was not in force on all daemons within 9 s.
set -euo pipefail
exec python3 "$(dirname "$0")/Cluster/bench_settings.py" "$@"
