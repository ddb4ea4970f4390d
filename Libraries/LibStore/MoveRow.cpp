#include <LibCore/Names.h>
#include <LibStore/JsonFields.h>
#include <LibStore/MoveRow.h>
#include <algorithm>
#include <array>
#include <span>

namespace Comfreysail::Store {

namespace {

constexpr std::array<std::string_view, 3> kindNames { "version", "availability_zone", "department" };
constexpr std::array<std::string_view, 4> stateNames { "declared", "paused", "done", "taken_back" };

/// Index of the field's text in `names`; adds a fault and returns 0 if it is not there.
size_t choice(JsonFields& fields, std::string_view field, std::span<std::string_view const> names)
{
    auto const text = fields.text(field);
    auto const found = std::ranges::find(names, std::string_view(text));
    if (found == names.end()) {
        fields.addFault("has an unknown value \"" + text + "\" in field \"" + std::string(field) + '"');
        return 0;
    }
    return static_cast<size_t>(found - names.begin());
}

}

std::string_view moveKindName(MoveKind kind) { return kindNames[static_cast<size_t>(kind)]; }

std::string_view moveStateName(MoveState state) { return stateNames[static_cast<size_t>(state)]; }

std::optional<MoveKind> moveKindNamed(std::string_view name)
{
    auto const found = std::ranges::find(kindNames, name);
    if (found == kindNames.end())
        return {};
    return static_cast<MoveKind>(found - kindNames.begin());
}

std::string MoveRow::toJson() const
{
    return boost::json::serialize(boost::json::object {
        { "kind", moveKindName(kind) },
        { "service", service },
        { "from", from },
        { "to", to },
        { "start_ms", Core::toUnixMilliseconds(start) },
        { "finish_by_ms", Core::toUnixMilliseconds(finishBy) },
        { "state", moveStateName(state) },
        { "reason", reason },
        { "change", changeId },
    });
}

Core::Result<MoveRow> MoveRow::fromRow(Row const& row)
{
    JsonFields fields(row.value, "row moves/" + row.key);
    MoveRow move {
        .id = row.key,
        .kind = static_cast<MoveKind>(choice(fields, "kind", kindNames)),
        .service = fields.text("service"),
        .from = fields.text("from"),
        .to = fields.text("to"),
        .start = Core::fromUnixMilliseconds(fields.integer("start_ms", 0)),
        .finishBy = Core::fromUnixMilliseconds(fields.integer("finish_by_ms", 0)),
        .state = static_cast<MoveState>(choice(fields, "state", stateNames)),
        .reason = fields.text("reason"),
        .changeId = fields.text("change"),
        .rowVersion = row.version,
    };
    if (fields.error())
        return *fields.error();
    return move;
}

std::vector<std::string> MoveRow::faults() const
{
    std::vector<std::string> result;
    auto const checkName = [&](std::string_view field, std::string const& value, bool required) {
        if (value.empty() && required)
            result.push_back(std::string(field) + " is required for a move of kind " + std::string(moveKindName(kind)));
        else if (!value.empty() && !Core::isValidName(value))
            result.push_back(std::string(field) + " is not a valid name: \"" + value + '"');
    };
    checkName("id", id, true);
    checkName("service", service, kind == MoveKind::Version);
    checkName("from", from, true);
    checkName("to", to, kind == MoveKind::Version);
    if (!from.empty() && from == to)
        result.push_back("from and to are the same: \"" + from + '"');
    if (finishBy <= start)
        result.emplace_back("finish_by must be after start");
    if (reason.size() > 1024)
        result.emplace_back("reason must have at most 1024 bytes");
    return result;
}

std::vector<std::string> MoveRow::faultsAgainst(Settings::SettingsTree const& tree) const
{
    std::vector<std::string> result;
    auto const check = [&](std::string const& name, std::string_view what, bool exists) {
        if (!name.empty() && !exists)
            result.push_back(std::string(what) + " \"" + name + "\" does not exist");
    };
    auto const* serviceSettings = tree.service(service);
    check(service, "service", serviceSettings != nullptr);
    for (auto const& name : { from, to }) {
        switch (kind) {
        case MoveKind::Version:
            if (serviceSettings)
                check(name, "version", serviceSettings->versions.contains(name));
            break;
        case MoveKind::AvailabilityZone:
            check(name, "availability zone", tree.availabilityZones.contains(name));
            break;
        case MoveKind::Department:
            check(name, "department", tree.department(name) != nullptr);
            break;
        }
    }
    return result;
}

bool isAllowedTransition(MoveState from, MoveState to)
{
    switch (from) {
    case MoveState::Declared:
        return to != MoveState::Declared;
    case MoveState::Paused:
        return to == MoveState::Declared || to == MoveState::TakenBack;
    case MoveState::Done:
    case MoveState::TakenBack:
        return false;
    }
    return false;
}

}
