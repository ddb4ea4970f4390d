#!/bin/sh
# Builds the stand-in of the platform's store, FakePlatform, that the scripts of review/11 to review/15 start. The other
# stand-ins are Python programs and need no build. The build of the deploy file comes first.
set -e
cd "$(dirname "$0")/.."
cmake -S . -B target/review-3 -G Ninja -DCMAKE_BUILD_TYPE=Release -DBUILD_TESTING=ON >target/review-3.log 2>&1 || {
    cat target/review-3.log
    rm -f target/review-3.log
    exit 1
}
rm -f target/review-3.log
cmake --build target/review-3 -j8 --target FakePlatform
