#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace Comfreysail::Routing {

/// What a target says about itself.
enum class TargetState : uint8_t {
    Serving,
    Cold,
    Draining,
};

/// Value of the Comfreysail-Load answer header. Numbers may be stale or wrong; only the state is ever acted on, and
/// `Serving` never overrides what the group measured.
struct LoadHint {
    std::optional<unsigned> inFlight;
    std::optional<unsigned> limit;
    std::optional<TargetState> state; ///< Nullopt when the answer carried no valid header.

    bool operator==(LoadHint const&) const = default;
};

/// Parses `in_flight=N;limit=N;state=S`. Fields that are missing, unknown or malformed stay empty.
LoadHint parseLoadHint(std::string_view header);

}
