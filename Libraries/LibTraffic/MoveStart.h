#pragma once

#include <LibCore/Time.h>
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

    bool operator==(MoveStart const&) const = default;
};

/// Converts a start to the text of its row, with the time in milliseconds, and back. Returns std::nullopt if the text
/// is invalid.
std::string moveStartText(MoveStart const&);
std::optional<MoveStart> parseMoveStart(std::string const& text);

}
