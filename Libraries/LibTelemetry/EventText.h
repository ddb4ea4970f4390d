#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Comfreysail::Telemetry {

/// An event line parsed from a log.
struct EventText {
    std::string time;   ///< Date and time as the daemon logged them; sort chronologically as text. Empty if missing.
    std::string source; ///< Last word before the daemon's own text, such as the VM name that a log collector adds.
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields; ///< Unescaped, without `event`.

    std::optional<std::string_view> field(std::string_view name) const;
    bool operator==(EventText const&) const = default;
};

/// Returns std::nullopt if the line contains no event.
std::optional<EventText> parseEventLine(std::string_view line);

}
