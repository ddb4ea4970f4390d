#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <string>

namespace Comfreysail::Traffic {

/// The operators' order to move a service's traffic to the targets of another version.
struct VersionMove {
    std::string service;
    std::string toVersion;
    Core::Duration duration {}; ///< Time from the order until the move must be finished.
    uint64_t orderedAt { 0 };   ///< Revision of the order in the platform's store; a new order has a higher one.

    bool operator==(VersionMove const&) const = default;
};

/// Returns true if an order was written again after the store came back from an older copy: it is of a later era, but
/// says the same. Within one era each row is an order of its own.
bool isSameOrder(VersionMove const& earlier, VersionMove const& later);

enum class MoveState : uint8_t {
    Running,
    Completed,
    RolledBack,
};

/// The result of a move as reported to the operators.
struct MoveResult {
    std::string service;
    std::string toVersion;
    MoveState state { MoveState::Running };
    uint64_t revision { 0 }; ///< Revision of the row in the platform's store; 0 if there is no row.

    bool operator==(MoveResult const&) const = default;
};

}
