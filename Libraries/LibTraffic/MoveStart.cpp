#include <LibTraffic/MoveStart.h>

#include <sstream>

namespace Comfreysail::Traffic {

namespace {

// About 300 years. A larger number would overflow when it is converted to microseconds.
constexpr int64_t maxMilliseconds = 10'000'000'000'000;

}

std::string moveStartText(MoveStart const& start)
{
    auto const milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(start.startedAt).count();
    return std::to_string(start.orderedAt) + " " + std::to_string(milliseconds);
}

std::optional<MoveStart> parseMoveStart(std::string const& text)
{
    std::istringstream stream(text);
    MoveStart start;
    int64_t milliseconds = 0;
    stream >> start.orderedAt >> milliseconds;
    bool const isValid = stream && milliseconds >= -maxMilliseconds && milliseconds <= maxMilliseconds;
    if (!isValid)
        return std::nullopt;
    start.startedAt = std::chrono::milliseconds(milliseconds);
    return start;
}

}
