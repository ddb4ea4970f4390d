#pragma once

#include "PeerMember.h"
#include "VersionChoice.h"
#include <LibCore/Core.h>
#include <LibMoves/Moves.h>
#include <LibSettings/Settings.h>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Comfreysail::Daemon {

/// A move with its share at the time of publication.
struct MoveInForce {
    Moves::Move move;
    double share { 0 };
    unsigned targetCount { 0 }; ///< Of the version `to`.
};

using NameSet = std::set<std::string, std::less<>>;

/// What the control plane decided last, as one immutable value for the request threads.
struct ControlView {
    std::shared_ptr<Settings::SettingsSnapshot const> settings;
    std::shared_ptr<std::vector<PeerMember> const> members { std::make_shared<std::vector<PeerMember> const>() };
    std::shared_ptr<NameSet const> zonesOut { std::make_shared<NameSet const>() };
    std::shared_ptr<NameSet const> departmentsOut { std::make_shared<NameSet const>() };
    std::vector<MoveInForce> moves; ///< In order of start; those taken back are left out.
    std::optional<Core::ErrorKind> refusal { Core::ErrorKind::SettingsUnavailable };
    Core::Instant publishedAt;
    uint64_t generation { 0 };

    bool isWatched(std::string_view service) const;
};

VersionChoice versionFor(ControlView const&, std::string_view service, std::string_view department, double uniform);

/// Where a move sends what belongs to `name`, a zone or a department; `name` itself without one.
std::string destinationOf(
    ControlView const&, Moves::MoveKind, std::string_view service, std::string_view name, double uniform);

/// Zones out in the settings or moved away completely.
NameSet zonesOutOf(Settings::SettingsTree const*, std::vector<MoveInForce> const&);
NameSet departmentsOutOf(std::vector<MoveInForce> const&);

}
