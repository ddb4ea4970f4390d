#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <optional>
#include <string>

namespace Comfreysail::Moves {

enum class MoveKind : uint8_t { Version, AvailabilityZone, Department };

enum class MoveState : uint8_t {
    Declared,
    Paused,    ///< The share stays what it was at `pausedAt`.
    Done,      ///< Final: `to` has all of it.
    TakenBack, ///< Final: `from` has all of it again.
};

/// A move that operators declared. It starts at `start` and is to be complete by `finishBy`.
struct Move {
    std::string id;
    MoveKind kind { MoveKind::Version };
    std::string service; ///< Empty: every service. Never empty for a version move.
    std::string from;    ///< Version, availability zone, or department.
    std::string to;      ///< Empty for a zone: any other zone. Empty for a department: it leaves when the move is done.
    Core::WallTime start;
    Core::WallTime finishBy;
    MoveState state { MoveState::Declared };
    std::optional<Core::WallTime> pausedAt;
    std::string reason;        ///< Why it was paused or taken back.
    uint64_t rowVersion { 0 }; ///< Of the row in the table service; 0 when unknown.

    bool operator==(Move const&) const = default;

    bool isFinal() const { return state == MoveState::Done || state == MoveState::TakenBack; }
    /// Whether evidence about the version `to` decides; zones and departments are moved by the clock alone.
    bool isJudged() const { return kind == MoveKind::Version; }
};

}
