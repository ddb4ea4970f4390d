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
///     be empty for all services.
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
    std::string changeId;      ///< Latest change of the row; shows after a lost response whether it was applied.
    uint64_t rowVersion { 0 }; ///< Row version that this was read from; 0 if not stored yet. Not in the JSON.

    bool operator==(MoveRow const&) const = default;

    /// True if the state cannot change any more.
    bool isFinal() const { return state == MoveState::Done || state == MoveState::TakenBack; }

    std::string toJson() const;
    static Core::Result<MoveRow> fromRow(Row const&);

    /// All invalid values, one message each; empty if the row may be declared.
    std::vector<std::string> faults() const;
    /// All names that do not exist in the settings, one message each.
    std::vector<std::string> faultsAgainst(Settings::SettingsTree const&) const;
};

/// True if a move may change from one state to the other: a final state never changes, and only a paused move can be
/// declared again, which resumes it.
bool isAllowedTransition(MoveState from, MoveState to);

inline constexpr std::string_view movesTable = "moves";

}
