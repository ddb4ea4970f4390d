#pragma once

#include <cstdint>
#include <string>

namespace Comfreysail::Settings {

/// Whether operators allow new requests to be sent to an availability zone.
enum class ZoneState : uint8_t { In, Out };

struct AvailabilityZone {
    ZoneState state { ZoneState::In };
    std::string region;

    bool operator==(AvailabilityZone const&) const = default;
};

}
