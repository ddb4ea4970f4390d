#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <string>

namespace Comfreysail::Traffic {

enum class RegistrationState : uint8_t {
    Ready,
    Draining,
};

/// What a target says of itself in the platform's registry.
struct RegisteredTarget {
    std::string id;
    std::string service;
    std::string address; ///< IP address.
    uint16_t port { 0 };
    std::string availabilityZone;
    std::string version;
    unsigned slots { 1 };
    RegistrationState state { RegistrationState::Ready };
    Core::Duration coldLeft {}; ///< When the entry was written.
    int64_t startedAt { 0 };    ///< Unix time, ms. A target that starts again under its id has another one.

    bool operator==(RegisteredTarget const&) const = default;
};

}
