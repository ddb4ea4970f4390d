#!/usr/bin/env bash
# Replays the trace in the repository with each routing policy and prints one row for each policy. The last line
# compares routing through homes with the bound and with power of two choices. For options, see bench-routing --help.
set -euo pipefail
cd "$(dirname "$0")/.."
source Meta/common.sh
exec "$build_directory/bin/bench-routing" "$@"
