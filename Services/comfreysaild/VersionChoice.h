#pragma once

#include <optional>
#include <string>

namespace Comfreysail::Daemon {

/// The service version that serves a request.
struct VersionChoice {
    std::string version;                 ///< Empty when the service is unknown.
    std::optional<unsigned> targetLimit; ///< If set, only this many targets of the version are used, in name order.
    std::string moveId;                  ///< Move that selected the version; empty if none did.

    bool operator==(VersionChoice const&) const = default;
};

}
