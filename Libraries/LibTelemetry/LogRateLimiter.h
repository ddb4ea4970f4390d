#pragma once

#include <LibCore/Time.h>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Comfreysail::Telemetry {

struct LogGateOptions {
    /// Lines logged for one event in one second; the rest are counted. Three times the request rate of a busy entry VM.
    unsigned linesPerSecond { 60 };

    bool operator==(LogGateOptions const&) const = default;
};

/// Lines of one event that were suppressed in one second.
struct HeldLines {
    std::string event;
    unsigned count { 0 };
    std::string last; ///< The last suppressed line, which shows how a burst ended.

    bool operator==(HeldLines const&) const = default;
};

/// Limits the rate of log lines for each event, so that a burst neither fills the log nor takes CPU time from requests.
class LogGate {
public:
    explicit LogGate(LogGateOptions = {});

    /// Returns true if the line may be written, otherwise counts it as suppressed.
    bool admits(std::string_view event, std::string_view line, Core::Instant now);

    /// Returns and clears the suppressed lines of the seconds that have ended.
    std::vector<HeldLines> takeHeld(Core::Instant now);

private:
    struct Count {
        Core::Instant begin {};
        unsigned lines { 0 };
        unsigned held { 0 };
        std::string last;
    };

    LogGateOptions m_options;
    std::map<std::string, Count, std::less<>> m_counts;
    std::vector<HeldLines> m_held;
};

}
