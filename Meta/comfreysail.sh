#!/usr/bin/env bash
# Builds, tests, runs and benchmarks comfreysail.
#
#   Meta/comfreysail.sh build
#   Meta/comfreysail.sh test
#   Meta/comfreysail.sh run [--seconds N] [--keep]
#   Meta/comfreysail.sh bench NAME [options]
#   Meta/comfreysail.sh soak [--seed S] [--seeds N | --minutes M]
#   Meta/comfreysail.sh format
set -euo pipefail

cd "$(dirname "$0")/.."
source Meta/common.sh

usage() {
    sed -n '2,9s/^# \{0,1\}//p' Meta/comfreysail.sh
    echo
    echo "benches: $(cd Meta && ls bench-*.sh 2>/dev/null | sed 's/^bench-//; s/\.sh$//' | tr '\n' ' ')"
}

command="${1:-help}"
[ $# -gt 0 ] && shift

case "$command" in
build)
    install_packages
    build
    ;;
test)
    install_packages
    Meta/check-format.sh
    build
    Meta/lint.sh
    python3 Meta/Cluster/soak.py --seed 1 --seeds 2 --seconds 5
    Meta/run-tests.sh
    ;;
run)
    install_packages
    build
    exec Meta/run.sh "$@"
    ;;
bench)
    name="${1:-}"
    if [ -z "$name" ] || [ ! -x "Meta/bench-$name.sh" ]; then
        echo "comfreysail.sh: unknown bench '$name'" >&2
        usage >&2
        exit 2
    fi
    shift
    install_packages
    build
    exec "Meta/bench-$name.sh" "$@"
    ;;
soak)
    install_packages
    build
    exec python3 Meta/Cluster/soak.py "$@"
    ;;
format)
    source_files | xargs clang-format -i
    ;;
help | --help | -h)
    usage
    ;;
*)
    echo "comfreysail.sh: unknown command '$command'" >&2
    usage >&2
    exit 2
    ;;
esac
