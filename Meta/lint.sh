#!/usr/bin/env bash
# Runs clang-tidy on every source file that people write. A file is skipped when it and everything that it includes
# are unchanged since its last clean run; the compiler's dependency list decides, as it does for the build.
# Clang reports defaulted operator<=> under -Wzero-as-null-pointer-constant, so only GCC makes that check.
set -euo pipefail
cd "$(dirname "$0")/.."
source Meta/common.sh

export lint_cache="$build_directory/lint"
export build_directory
mkdir -p "$lint_cache"

lint_file() {
    local file="$1"
    local stamp="$lint_cache/${file//\//_}"
    local dependencies key
    dependencies="$(ninja -C "$build_directory" -t deps | awk -v file="$PWD/$file" '
        /^[^ ]/ { block = ""; next }
        /^ / { path = $1; block = block path "\n"; if (path == file) found = 1 }
        /^$/ { if (found) { printf "%s", block; exit } block = "" }' | grep "^$PWD" || true)"
    key="$(cat .clang-tidy "$file" $dependencies | sha256sum)"
    if [ -f "$stamp" ] && [ "$(cat "$stamp")" = "$key" ]; then
        return 0
    fi
    if clang-tidy -p "$build_directory" --quiet --extra-arg=-Wno-zero-as-null-pointer-constant "$file" 2>"$stamp.errors"; then
        echo "$key" >"$stamp"
        rm -f "$stamp.errors"
    else
        echo "lint: $file failed" >&2
        grep -v 'warnings\? generated\|warnings treated as errors' "$stamp.errors" >&2 || true
        return 1
    fi
}
export -f lint_file

source_files | grep '\.cpp$' | xargs -P "$(nproc)" -I{} bash -c 'lint_file {}'
echo "lint: clean"
