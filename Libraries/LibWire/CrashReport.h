#pragma once

#include <cstdint>
#include <string>

namespace Comfreysail::Wire {

/// A request fingerprint was in flight when the connection to a target instance ended without a response.
struct CrashReport {
    uint64_t fingerprint { 0 };
    std::string target; ///< Instance: target name, '@', Unix time of the first send to it in ms.

    bool operator==(CrashReport const&) const = default;
};

}
