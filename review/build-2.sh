#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the daemon. The stand-ins are Python modules that use only
# the standard library, so they are only checked here; nothing is installed or written outside review/.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "python3 3.11 or newer is needed" >&2; exit 1; }
for file in lib-2/standins.py lib-3/standins.py {6,7,8,9,10}/case.py; do
    if [ -e "$file" ]; then
        python3 -m py_compile "$file"
    fi
done
