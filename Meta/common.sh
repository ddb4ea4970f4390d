# Functions and variables for the scripts in this folder, which source this file from the repository's root.

build_directory="${COMFREYSAIL_BUILD_DIRECTORY:-$PWD/Build}"

# Paths relative to the repository let several work trees share one compiler cache.
export CCACHE_BASEDIR="$PWD"
export CCACHE_NOHASHDIR=1
export CCACHE_SLOPPINESS=pch_defines,time_macros

packages=(
    g++ cmake ninja-build ccache pkg-config clang-format clang-tidy curl
    libboost1.81-dev libboost-program-options1.81-dev libboost-json1.81-dev libboost-url1.81-dev
    libzmq3-dev cppzmq-dev libprotobuf-dev protobuf-compiler libgoogle-glog-dev
    libtomlplusplus-dev libxxhash-dev libzstd-dev catch2
)

install_packages() {
    local missing=()
    local package
    for package in "${packages[@]}"; do
        if ! dpkg-query -W -f '${Status}\n' "$package" 2>/dev/null | grep -q '^install ok installed$'; then
            missing+=("$package")
        fi
    done
    [ ${#missing[@]} -eq 0 ] && return
    echo "installing: ${missing[*]}"
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
}

build() {
    if [ ! -f "$build_directory/build.ninja" ]; then
        cmake -S . -B "$build_directory" -G Ninja -DCMAKE_BUILD_TYPE=Release >"${TMPDIR:-/tmp}/comfreysail-cmake.$$.log" 2>&1 || {
            cat "${TMPDIR:-/tmp}/comfreysail-cmake.$$.log"
            return 1
        }
        rm -f "${TMPDIR:-/tmp}/comfreysail-cmake.$$.log"
    fi
    ninja -C "$build_directory" --quiet
}

# Lists all C++ files except generated protobuf code.
source_files() {
    git ls-files --cached --others --exclude-standard -- '*.h' '*.cpp' | grep -v '/Generated/'
}
