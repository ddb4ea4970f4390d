#pragma once

#include <cstdint>
#include <string>

namespace Comfreysail::Routing {

/// A server process that runs requests. Its name is unique in its service.
struct Target {
    std::string name;
    std::string address; ///< IP address.
    uint16_t port { 0 };
    std::string availabilityZone;
    std::string version;
    unsigned slots { 1 }; ///< Requests that it can run concurrently; at least 1.

    bool operator==(Target const&) const = default;
};

}
