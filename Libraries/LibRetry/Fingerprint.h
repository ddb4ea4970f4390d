#pragma once

#include <LibCore/Core.h>
#include <string_view>

namespace Comfreysail::Retry {

/// Maximum number of bytes of a body that are included in a fingerprint.
inline constexpr size_t maxFingerprintedBodyBytes = size_t { 64 } * 1024;

/// The parts of a request that identify it across repeated sends.
struct FingerprintParts {
    std::string_view service;
    std::string_view method;
    std::string_view pathWithQuery;
    std::string_view body; ///< Only the first maxFingerprintedBodyBytes bytes are used.
};

/// Returns the 64-bit fingerprint of a request. Equal requests have equal fingerprints in every daemon.
uint64_t fingerprintOf(FingerprintParts const&);

}
