#!/usr/bin/env bash
# Regenerates the protobuf code in Libraries/LibWire/Generated. Run it after a change to Wire.proto.
set -euo pipefail
cd "$(dirname "$0")/../Libraries/LibWire"
protoc --cpp_out=Generated Wire.proto
