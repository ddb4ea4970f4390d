#!/usr/bin/env bash
# Replays the committed trace with each routing policy and prints one row for each; the last line compares the homes
# with the bound and with power of two choices. Options are those of bench-routing, see --help.
set -euo pipefail
cd "$(dirname "$0")/.."
source Meta/common.sh
exec "$build_directory/bin/bench-routing" "$@"
