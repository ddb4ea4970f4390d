#include <LibTraffic/MoveStart.h>

#include <boost/json.hpp>
#include <sstream>

namespace Comfreysail::Traffic {

namespace {

// About 300 years. A larger number would overflow when it is converted to microseconds.
constexpr int64_t maxMilliseconds = 10'000'000'000'000;

std::string versionsText(MoveStart const& start)
{
    boost::json::array rejected;
    for (auto const& version : start.history.rejected)
        rejected.emplace_back(version);
    return boost::json::serialize(boost::json::object {
        { "to", start.toVersion }, { "current", start.history.current }, { "rejected", std::move(rejected) } });
}

std::string textMember(boost::json::object const& object, std::string_view name)
{
    auto const* const value = object.if_contains(name);
    auto const* const text = value ? value->if_string() : nullptr;
    return text ? std::string(text->data(), text->size()) : std::string();
}

/// Reads the versions into the start. Returns false if the text is invalid.
bool parseVersions(std::string_view text, MoveStart& start)
{
    boost::system::error_code error;
    auto const json = boost::json::parse(text, error);
    auto const* const object = error ? nullptr : json.if_object();
    if (!object)
        return false;
    start.toVersion = textMember(*object, "to");
    start.history.current = textMember(*object, "current");
    auto const* const rejected = object->if_contains("rejected");
    if (!rejected || !rejected->is_array())
        return false;
    for (auto const& version : rejected->get_array()) {
        if (!version.is_string())
            return false;
        start.history.rejected.emplace_back(version.get_string().data(), version.get_string().size());
    }
    return true;
}

}

std::string moveStartText(MoveStart const& start)
{
    auto const milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(start.startedAt).count();
    return std::to_string(start.orderedAt) + " " + std::to_string(milliseconds) + "\n" + versionsText(start);
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
    std::string versions;
    std::getline(stream >> std::ws, versions);
    if (!versions.empty() && !parseVersions(versions, start))
        return std::nullopt;
    return start;
}

}
