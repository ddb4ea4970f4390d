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

/// A move with the share of traffic that it had moved when the view was published.
struct AppliedMove {
    Moves::Move move;
    double share { 0 };
    unsigned targetCount { 0 }; ///< Targets of the version `to`.
};

using NameSet = std::set<std::string, std::less<>>;

/// Immutable snapshot of the control plane's state, read by the threads that handle requests.
struct ControlView {
    std::shared_ptr<Settings::SettingsSnapshot const> settings;
    std::shared_ptr<std::vector<PeerMember> const> members { std::make_shared<std::vector<PeerMember> const>() };
    std::shared_ptr<NameSet const> zonesOut { std::make_shared<NameSet const>() };
    std::shared_ptr<NameSet const> departmentsOut { std::make_shared<NameSet const>() };
    std::vector<AppliedMove> moves; ///< By start time, without those that were taken back.
    std::optional<Core::ErrorKind> refusal { Core::ErrorKind::SettingsUnavailable };
    Core::Instant publishedAt;
    uint64_t generation { 0 };

    /// True if the service has a running move that is judged by evidence.
    bool isWatched(std::string_view service) const;
};

VersionChoice versionFor(ControlView const&, std::string_view service, std::string_view department, double uniform);

/// Applies the moves of this kind to `name`, a zone or a department. Returns the destination; `name` if no move
/// applies.
std::string destinationOf(
    ControlView const&, Moves::MoveKind, std::string_view service, std::string_view name, double uniform);

/// Zones that are out of service in the settings or were moved away completely.
NameSet zonesOutOf(Settings::SettingsTree const*, std::vector<AppliedMove> const&);
NameSet departmentsOutOf(std::vector<AppliedMove> const&);

}
