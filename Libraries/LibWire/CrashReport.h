#pragma once

#include <cstdint>
#include <string>

namespace Comfreysail::Wire {

/// Reports that the connection to a target instance ended without a response while a request with this fingerprint was
/// in flight.
struct CrashReport {
    uint64_t fingerprint { 0 };
    std::string target; ///< Target instance: target name, '@' and the Unix time in ms of the first send to it.

    bool operator==(CrashReport const&) const = default;
};

}
