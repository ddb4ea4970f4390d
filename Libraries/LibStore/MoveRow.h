#pragma once

#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <LibSettings/SettingsTree.h>
#include <LibStore/Row.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Comfreysail::Store {

enum class MoveKind : uint8_t { Version, AvailabilityZone, Department };

enum class MoveState : uint8_t { Declared, Paused, Done, TakenBack };

std::string_view moveKindName(MoveKind);
std::string_view moveStateName(MoveState);
std::optional<MoveKind> moveKindNamed(std::string_view);

/// The row moves/<id>, as JSON. What `from` and `to` name depends on the kind:
///   version: versions of `service`, both required;
///   availability_zone: `from` is the zone to leave; `to` is the zone to go to, or empty for all that remain; `service`
///     may be empty for all services;
///   department: `from` is the department that leaves; `to` is empty or the department that takes over; `service` may
///   be
///     empty for all services.
struct MoveRow {
    std::string id; ///< Key of the row; not in the JSON.
    MoveKind kind { MoveKind::Version };
    std::string service;
    std::string from;
    std::string to;
    Core::WallTime start;
    Core::WallTime finishBy;
    MoveState state { MoveState::Declared };
    std::string reason;        ///< Why it is in this state, for operators.
    std::string changeId;      ///< Of the latest change of the row; decides after a lost response.
    uint64_t rowVersion { 0 }; ///< Version of the row that it was read from; 0 before. Not in the JSON.

    bool operator==(MoveRow const&) const = default;

    /// Whether the state never changes again.
    bool isFinal() const { return state == MoveState::Done || state == MoveState::TakenBack; }

    std::string toJson() const;
    static Core::Result<MoveRow> fromRow(Row const&);

    /// Every fault of the values, one sentence each; empty when the row may be declared.
    std::vector<std::string> faults() const;
    /// Every name that the settings do not have, one sentence each.
    std::vector<std::string> faultsAgainst(Settings::SettingsTree const&) const;
};

/// Whether a change from one state to another is allowed: a final state stays, and only a paused move resumes.
bool isAllowedTransition(MoveState from, MoveState to);

inline constexpr std::string_view movesTable = "moves";

}
