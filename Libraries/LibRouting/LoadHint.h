#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace Comfreysail::Routing {

/// The state that a target reports.
enum class TargetState : uint8_t {
    Serving,
    Cold,
    Draining,
};

/// Value of the Comfreysail-Load response header. The numbers may be stale or wrong, so a target group acts only on the
/// state, and `Serving` never overrides what the group measured.
struct LoadHint {
    std::optional<unsigned> inFlight;
    std::optional<unsigned> limit;
    std::optional<TargetState> state; ///< Nullopt if the response has no valid state.

    bool operator==(LoadHint const&) const = default;
};

/// Parses `in_flight=N;limit=N;state=S`. Fields that are missing, unknown or malformed stay nullopt.
LoadHint parseLoadHint(std::string_view header);

}
