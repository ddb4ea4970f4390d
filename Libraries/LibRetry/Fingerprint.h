#pragma once

#include <LibCore/Core.h>
#include <string_view>

namespace Comfreysail::Retry {

/// Bytes of a body that take part in a fingerprint.
inline constexpr size_t maxFingerprintedBody = size_t { 64 } * 1024;

/// The parts of a request that identify it when it is sent again.
struct FingerprintParts {
    std::string_view service;
    std::string_view method;
    std::string_view pathWithQuery;
    std::string_view body; ///< Only the first maxFingerprintedBody bytes are used.
};

/// 64-bit fingerprint of a request. Equal requests have equal fingerprints in every daemon.
uint64_t fingerprintOf(FingerprintParts const&);

}
