#include "ControlView.h"
#include <algorithm>

namespace Comfreysail::Daemon {

using Moves::MoveKind;

namespace {

bool appliesTo(Moves::Move const& move, MoveKind kind, std::string_view service, std::string_view from)
{
    return move.kind == kind && move.from == from && (move.service.empty() || move.service == service);
}

}

bool ControlView::isWatched(std::string_view service) const
{
    return std::any_of(moves.begin(), moves.end(), [&](AppliedMove const& applied) {
        return applied.move.isJudged() && !applied.move.isFinal() && applied.move.service == service;
    });
}

VersionChoice versionFor(ControlView const& view, std::string_view service, std::string_view department, double uniform)
{
    if (!view.settings || !view.settings->tree->service(service))
        return {};
    VersionChoice choice;
    choice.version = Settings::effectiveSettings(*view.settings->tree, service, department).version;
    for (auto const& [move, share, targetCount] : view.moves) {
        if (!appliesTo(move, MoveKind::Version, service, choice.version) || uniform >= share)
            continue;
        choice.version = move.to;
        choice.moveId = move.id;
        choice.targetLimit
            = share < 1 ? std::optional(Moves::targetLimitAt(share, targetCount)) : std::optional<unsigned>();
    }
    return choice;
}

std::string destinationOf(
    ControlView const& view, MoveKind kind, std::string_view service, std::string_view name, double uniform)
{
    std::string destination(name);
    for (auto const& [move, share, targetCount] : view.moves) {
        // A department that leaves without a successor keeps its name; departmentsOut() lists it once it has left.
        auto const isDeparture = kind == MoveKind::Department && move.to.empty();
        if (appliesTo(move, kind, service, destination) && uniform < share && !isDeparture)
            destination = move.to;
    }
    return destination;
}

NameSet zonesOutOf(Settings::SettingsTree const* tree, std::vector<AppliedMove> const& moves)
{
    NameSet zones;
    if (tree) {
        for (auto const& [name, zone] : tree->availabilityZones) {
            if (!tree->isZoneIn(name))
                zones.insert(name);
        }
    }
    for (auto const& [move, share, targetCount] : moves) {
        if (move.kind == MoveKind::AvailabilityZone && move.service.empty() && share >= 1)
            zones.insert(move.from);
    }
    return zones;
}

NameSet departmentsOutOf(std::vector<AppliedMove> const& moves)
{
    NameSet departments;
    for (auto const& [move, share, targetCount] : moves) {
        if (move.kind == MoveKind::Department && move.service.empty() && move.to.empty() && share >= 1)
            departments.insert(move.from);
    }
    return departments;
}

}
