#pragma once

#include <LibClaims/Claims.h>
#include <LibCore/Core.h>

namespace Comfreysail::Claims {

inline constexpr auto start = Core::WallTime(std::chrono::hours(1000));
inline constexpr auto second = std::chrono::milliseconds(1000);

/// Returns a row whose request must start within one second and end within another second.
inline ClaimRow exampleRow(std::string claimId, RowState state = RowState::Claimed, unsigned status = 0)
{
    return { std::move(claimId), 7, start + second, second, start + 3600 * second, state, status };
}

}
