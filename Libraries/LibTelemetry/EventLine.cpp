#include <LibTelemetry/EventLine.h>
#include <algorithm>
#include <array>
#include <cstdio>
#include <glog/logging.h>

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

}

EventLine::EventLine(std::string_view event) { add("event", event); }

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

void EventLine::logInfo() const { LOG(INFO) << m_text; }

void EventLine::logWarning() const { LOG(WARNING) << m_text; }

void EventLine::logError() const { LOG(ERROR) << m_text; }

void startLogging(char const* programName)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(programName);
}

}
