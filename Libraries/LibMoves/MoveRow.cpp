#include <LibMoves/MoveRow.h>
#include <array>
#include <boost/json.hpp>

namespace Comfreysail::Moves {

namespace {

constexpr std::array<std::string_view, 3> kindNames { "version", "availability_zone", "department" };
constexpr std::array<std::string_view, 4> stateNames { "declared", "paused", "done", "taken_back" };

Core::Error malformed(std::string const& id, std::string const& problem)
{
    return { Core::ErrorKind::MalformedMessage, "moves/" + id + ": " + problem };
}

template<size_t Count>
std::optional<size_t> indexOf(std::array<std::string_view, Count> const& names, std::string_view name)
{
    for (size_t index = 0; index < Count; ++index) {
        if (names[index] == name)
            return index;
    }
    return {};
}

std::string textAt(boost::json::object const& object, std::string_view key)
{
    auto const* value = object.if_contains(key);
    auto const* text = value ? value->if_string() : nullptr;
    return text ? std::string(text->data(), text->size()) : std::string();
}

std::optional<Core::WallTime> timeAt(boost::json::object const& object, std::string_view key)
{
    auto const* value = object.if_contains(key);
    auto const* milliseconds = value ? value->if_int64() : nullptr;
    return milliseconds ? std::optional(Core::fromUnixMilliseconds(*milliseconds)) : std::nullopt;
}

}

std::string_view moveKindName(MoveKind kind) { return kindNames.at(static_cast<size_t>(kind)); }

std::string_view moveStateName(MoveState state) { return stateNames.at(static_cast<size_t>(state)); }

std::string encodeMoveRow(Move const& move)
{
    boost::json::object object {
        { "kind", moveKindName(move.kind) },
        { "service", move.service },
        { "department", move.department },
        { "from", move.from },
        { "to", move.to },
        { "start_ms", Core::toUnixMilliseconds(move.start) },
        { "finish_by_ms", Core::toUnixMilliseconds(move.finishBy) },
        { "state", moveStateName(move.state) },
        { "reason", move.reason },
    };
    if (move.pausedAt)
        object["paused_at_ms"] = Core::toUnixMilliseconds(*move.pausedAt);
    return boost::json::serialize(object);
}

Core::Result<Move> decodeMoveRow(std::string id, uint64_t rowVersion, std::string_view json)
{
    boost::system::error_code error;
    auto const value = boost::json::parse(boost::json::string_view(json.data(), json.size()), error);
    if (error || !value.is_object())
        return malformed(id, "not a JSON object");
    auto const& object = value.get_object();
    auto const kind = indexOf(kindNames, textAt(object, "kind"));
    auto const state = indexOf(stateNames, textAt(object, "state"));
    auto const start = timeAt(object, "start_ms");
    auto const finishBy = timeAt(object, "finish_by_ms");
    if (!kind)
        return malformed(id, "kind must be version, availability_zone or department");
    if (!state)
        return malformed(id, "state must be declared, paused, done or taken_back");
    if (!start || !finishBy || *finishBy < *start)
        return malformed(id, "start_ms and finish_by_ms must be integers, in this order");

    Move move;
    move.id = std::move(id);
    move.kind = static_cast<MoveKind>(*kind);
    move.service = textAt(object, "service");
    move.department = textAt(object, "department");
    move.from = textAt(object, "from");
    move.to = textAt(object, "to");
    move.start = *start;
    move.finishBy = *finishBy;
    move.state = static_cast<MoveState>(*state);
    move.pausedAt = timeAt(object, "paused_at_ms");
    move.reason = textAt(object, "reason");
    move.rowVersion = rowVersion;
    if (move.kind == MoveKind::Version && (move.service.empty() || move.to.empty()))
        return malformed(move.id, "a version move needs service and to");
    if (move.kind == MoveKind::AvailabilityZone && (move.from.empty() || move.to.empty()))
        return malformed(move.id, "a move between availability zones needs from and to");
    if (move.kind == MoveKind::Department && move.department.empty())
        return malformed(move.id, "a move of a department needs department");
    return move;
}

}
