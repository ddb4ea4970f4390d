#pragma once

#include <LibCore/Time.h>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Comfreysail::Telemetry {

struct LogGateOptions {
    /// Lines of one event in one second; the rest are counted. Three times the requests of a busy entry VM.
    unsigned linesPerSecond { 60 };

    bool operator==(LogGateOptions const&) const = default;
};

/// Lines of one event that were held back in one second.
struct HeldLines {
    std::string event;
    unsigned count { 0 };
    std::string last; ///< The last of them, so that the end of a burst can be seen.

    bool operator==(HeldLines const&) const = default;
};

/// Bounds the lines of each event, so that a burst does not fill the log or cost the processor time of requests.
class LogGate {
public:
    explicit LogGate(LogGateOptions = {});

    /// True when the line may be written.
    bool admits(std::string_view event, std::string_view line, Core::Instant now);

    /// What was held back in seconds that are over.
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
