#!/usr/bin/env bash
# Builds what the scripts start beside the daemon. The stand-ins are Python modules that use only the standard library,
# as Meta/Cluster does, so they are only checked here; nothing is installed or written outside review/.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "python3 3.11 or newer is needed" >&2; exit 1; }
python3 -m py_compile lib/standins.py */case.py
