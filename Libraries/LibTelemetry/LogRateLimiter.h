#pragma once

#include <LibCore/Time.h>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Comfreysail::Telemetry {

struct LogRateLimiterOptions {
    /// Lines logged for one event in one second; the rest are counted. Three times the request rate of a busy entry VM.
    unsigned linesPerSecond { 60 };

    bool operator==(LogRateLimiterOptions const&) const = default;
};

/// Lines of one event that were suppressed in one second.
struct SuppressedLines {
    std::string event;
    unsigned count { 0 };
    std::string last; ///< The last suppressed line, which shows how a burst ended.

    bool operator==(SuppressedLines const&) const = default;
};

/// Limits the rate of log lines for each event, so that a burst neither fills the log nor takes CPU time from requests.
class LogRateLimiter {
public:
    explicit LogRateLimiter(LogRateLimiterOptions = {});

    /// Returns true if the line may be written, otherwise counts it as suppressed.
    bool admits(std::string_view event, std::string_view line, Core::Instant now);

    /// Returns and clears the suppressed lines of the seconds that have ended.
    std::vector<SuppressedLines> takeSuppressed(Core::Instant now);

private:
    struct Count {
        Core::Instant begin {};
        unsigned lines { 0 };
        unsigned suppressed { 0 };
        std::string last;
    };

    LogRateLimiterOptions m_options;
    std::map<std::string, Count, std::less<>> m_counts;
    std::vector<SuppressedLines> m_suppressed;
};

}
