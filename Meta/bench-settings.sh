#!/usr/bin/env bash
# Changes settings under faults: 14 daemons as processes, two operators that change settings at the same time, kills,
# pauses and store outages drawn from a seed, which is printed first. Each change is pushed to one daemon at most.
#
#   Meta/bench-settings.sh [--seed N] [--seconds N] [--daemons N]
#
# Exits with 1 when an accepted change was lost or reverted, or took longer than 9 s.
set -euo pipefail
exec python3 "$(dirname "$0")/Cluster/bench_settings.py" "$@"
