#pragma once

#include <cstdint>
#include <string>

namespace Comfreysail::Settings {

struct Target {
    std::string name;
    std::string address; ///< IP address.
    uint16_t port { 0 };
    std::string availabilityZone;
    unsigned slots { 2 }; ///< Requests that the target can run concurrently.

    bool operator==(Target const&) const = default;
};

}
