#pragma once

#include <concepts>
#include <string>
#include <string_view>

namespace Comfreysail::Telemetry {

/// One log line of key=value pairs. The first pair is event=NAME. A value with spaces, quotes, '=' or control
/// characters is quoted and escaped, so that one event is always one line.
class EventLine {
public:
    explicit EventLine(std::string_view event);

    EventLine& add(std::string_view key, std::string_view value);
    EventLine& add(std::string_view key, char const* value) { return add(key, std::string_view(value)); }
    EventLine& add(std::string_view key, bool value) { return add(key, std::string_view(value ? "true" : "false")); }
    EventLine& add(std::string_view key, double value);

    template<std::integral T> EventLine& add(std::string_view key, T value)
    {
        return add(key, std::string_view(std::to_string(value)));
    }

    std::string const& text() const { return m_text; }

    /// Writes the line through glog. Lines of one event beyond a rate limit are counted instead, and lines are dropped
    /// while standard error cannot accept a write, so that logging never delays a request. logHeldLines() reports both.
    void logInfo() const;
    void logWarning() const;
    void logError() const;

private:
    bool mayLog() const;

    std::string m_event;
    std::string m_text;
};

/// Logs a summary of the rate-limited and dropped lines. Call it about once a second.
void logHeldLines();

/// Initializes glog for a daemon. Log lines go to standard error, because the VMs have no disks.
void startLogging(char const* programName);

}
