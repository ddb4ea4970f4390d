#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Comfreysail::Telemetry {

/// An event line as it was read from a log.
struct EventText {
    std::string time;   ///< Date and time of day as the daemon wrote them; sorts by time. Empty when there is none.
    std::string source; ///< What stands before the daemon's own text, such as the VM's name that a collector added.
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields; ///< Without the event, unescaped.

    std::optional<std::string_view> field(std::string_view name) const;
    bool operator==(EventText const&) const = default;
};

/// Nothing when the line holds no event.
std::optional<EventText> parseEventLine(std::string_view line);

}
