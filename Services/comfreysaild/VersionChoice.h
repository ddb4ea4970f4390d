#pragma once

#include <optional>
#include <string>

namespace Comfreysail::Daemon {

/// The version that serves a request.
struct VersionChoice {
    std::string version;                 ///< Empty when the service is unknown.
    std::optional<unsigned> targetLimit; ///< Use only the first so many targets of the version, in name order.
    std::string moveId;                  ///< Of the move that decided; empty without one.

    bool operator==(VersionChoice const&) const = default;
};

}
