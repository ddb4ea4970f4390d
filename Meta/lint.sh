#!/usr/bin/env bash
# Runs clang-tidy on every source file except generated code. Skips a file if an earlier run was clean with the same
# content of the file and of all repository files that it includes, according to the compiler's dependency list. The
# cache of clean runs is keyed by content, so several work trees can share it, as they share the compiler cache.
set -euo pipefail
cd "$(dirname "$0")/.."
source Meta/common.sh

export lint_cache="$build_directory/lint"
export clean_runs="${COMFREYSAIL_LINT_CACHE:-$HOME/.cache/comfreysail-lint}"
mkdir -p "$lint_cache" "$clean_runs"

# clang-tidy cannot read GCC's precompiled headers, so their flags are removed.
sed 's/-Winvalid-pch//; s/-include [^ ]*cmake_pch\.hxx//' "$build_directory/compile_commands.json" \
    >"$lint_cache/compile_commands.json"

# Write one line for each pair of a source file and a file that it includes, both relative to the repository's root.
ninja -C "$build_directory" -t deps | awk -v root="$PWD/" '
    /^[^ ]/ { source = ""; next }
    NF == 0 { next }
    {
        path = $1
        if (index(path, root) == 1) path = substr(path, length(root) + 1)
        sub(/^\.\.\//, "", path)
        if (path ~ /^\// || path ~ /^Build\//) next
        if (source == "") source = path
        print source "\t" path
    }' | sort -u >"$lint_cache/dependencies"

lint_file() {
    local file="$1"
    local errors="$lint_cache/${file//\//_}.errors"
    local key
    key="$(awk -F'\t' -v file="$file" '$1 == file { print $2 }' "$lint_cache/dependencies" |
        xargs -r cat .clang-tidy "$file" | sha256sum | cut -d' ' -f1)"
    if [ -f "$clean_runs/$key" ]; then
        return 0
    fi
    if clang-tidy -p "$lint_cache" --quiet "$file" >"$errors" 2>/dev/null; then
        touch "$clean_runs/$key"
        rm -f "$errors"
    else
        echo "lint: $file failed" >&2
        cat "$errors" >&2
        return 1
    fi
}
export -f lint_file

source_files | grep '\.cpp$' | xargs -P "$(nproc)" -I{} bash -c 'lint_file {}'
echo "lint: clean"
