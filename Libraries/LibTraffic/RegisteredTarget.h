#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <optional>
#include <string>

namespace Comfreysail::Traffic {

enum class RegistrationState : uint8_t {
    Ready,
    Draining,
};

/// A target's entry in the platform's registry, as written by the target.
struct RegisteredTarget {
    std::string id;
    std::string service;
    std::string address; ///< IP address.
    uint16_t port { 0 };
    std::string availabilityZone;
    std::string version;
    unsigned slots { 1 };
    RegistrationState state { RegistrationState::Ready };
    Core::Duration coldLeft {}; ///< Remaining time as a cold target, counted from when the entry was written.
    int64_t startedAt { 0 };    ///< Unix time in ms. Tells a restarted target from its previous run under the same id.
    std::optional<int64_t> sequence {}; ///< Number of the entry, which rises with each one that this run writes.

    bool operator==(RegisteredTarget const&) const = default;
};

}
