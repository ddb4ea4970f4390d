#pragma once

#include <LibCore/Time.h>
#include <LibTraffic/VersionHistory.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Comfreysail::Traffic {

/// When daemons first saw the order of a move. Its time limit and its trial count from then on, also for daemons that
/// start or hear of the order later.
struct MoveStart {
    uint64_t orderedAt { 0 };    ///< Revision of the order.
    Core::Duration startedAt {}; ///< By the store's clock.
    /// Version to which the order moves the service. Empty in rows of older builds, which have no history either.
    std::string toVersion;
    VersionHistory history; ///< From before the order.

    bool operator==(MoveStart const&) const = default;
};

/// Converts a start to the text of its row and back. The first line holds the order and the time in milliseconds, as in
/// rows of older builds, and the second one the versions as JSON. Returns std::nullopt if the text is invalid.
std::string moveStartText(MoveStart const&);
std::optional<MoveStart> parseMoveStart(std::string const& text);

}
