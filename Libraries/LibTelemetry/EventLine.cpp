#include <LibTelemetry/EventLine.h>
#include <LibTelemetry/LogRateLimiter.h>
#include <algorithm>
#include <array>
#include <cstdio>
#include <glog/logging.h>
#include <mutex>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace Comfreysail::Telemetry {

namespace {

bool needsQuotes(std::string_view value)
{
    return value.empty() || std::any_of(value.begin(), value.end(), [](unsigned char character) {
        return character <= ' ' || character == '"' || character == '=' || character == '\\' || character == 0x7f;
    });
}

void appendEscaped(std::string& text, unsigned char character)
{
    if (character == '"' || character == '\\') {
        text += '\\';
        text += static_cast<char>(character);
        return;
    }
    if (character >= ' ' && character != 0x7f) {
        text += static_cast<char>(character);
        return;
    }
    std::array<char, 5> escaped {};
    std::snprintf(escaped.data(), escaped.size(), "\\x%02x", character);
    text += escaped.data();
}

/// Guards the rate limiter and droppedLines. No other lock is taken while it is held.
std::mutex rateLimiterMutex;
uint64_t droppedLines { 0 };

LogRateLimiter& rateLimiter()
{
    static LogRateLimiter instance;
    return instance;
}

/// True if a write to standard error would block, because it is a pipe whose reader has fallen behind.
bool isStandardErrorBlocked()
{
    pollfd descriptor { STDERR_FILENO, POLLOUT, 0 };
    return ::poll(&descriptor, 1, 0) == 0;
}

}

EventLine::EventLine(std::string_view event)
    : m_event(event)
{
    add("event", event);
}

EventLine& EventLine::add(std::string_view key, std::string_view value)
{
    if (!m_text.empty())
        m_text += ' ';
    m_text += key;
    m_text += '=';
    if (!needsQuotes(value)) {
        m_text += value;
        return *this;
    }
    m_text += '"';
    for (unsigned char character : value)
        appendEscaped(m_text, character);
    m_text += '"';
    return *this;
}

EventLine& EventLine::add(std::string_view key, double value)
{
    std::array<char, 32> digits {};
    std::snprintf(digits.data(), digits.size(), "%.3f", value);
    return add(key, std::string_view(digits.data()));
}

bool EventLine::mayLog() const
{
    std::lock_guard const lock(rateLimiterMutex);
    if (!rateLimiter().admits(m_event, m_text, Core::monotonicNow()))
        return false;
    if (isStandardErrorBlocked()) {
        ++droppedLines;
        return false;
    }
    return true;
}

void EventLine::logInfo() const
{
    if (mayLog())
        LOG(INFO) << m_text;
}

void EventLine::logWarning() const
{
    if (mayLog())
        LOG(WARNING) << m_text;
}

void EventLine::logError() const
{
    if (mayLog())
        LOG(ERROR) << m_text;
}

void logHeldLines()
{
    std::vector<SuppressedLines> suppressed;
    uint64_t dropped = 0;
    {
        std::lock_guard const lock(rateLimiterMutex);
        if (isStandardErrorBlocked())
            return;
        suppressed = rateLimiter().takeSuppressed(Core::monotonicNow());
        dropped = std::exchange(droppedLines, 0);
    }
    for (auto const& lines : suppressed)
        EventLine("lines_held").add("of", lines.event).add("count", lines.count).add("last", lines.last).logInfo();
    if (dropped > 0)
        EventLine("lines_lost").add("count", dropped).add("reason", "the reader of the log was behind").logWarning();
}

void startLogging(char const* programName)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(programName);
}

}
