#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <optional>
#include <string>

namespace Comfreysail::Moves {

enum class MoveKind : uint8_t { Version, AvailabilityZone, Department };

enum class MoveState : uint8_t {
    Declared,
    Paused,    ///< The share stays at its value at `pausedAt`.
    Done,      ///< Final: `to` gets all traffic.
    TakenBack, ///< Final: `from` gets all traffic again.
};

/// A gradual move of traffic that operators declared. It starts at `start` and must be complete by `finishBy`.
struct Move {
    std::string id;
    MoveKind kind { MoveKind::Version };
    std::string service; ///< Empty for all services. Never empty for a version move.
    std::string from;    ///< Name of a version, availability zone or department.
    std::string to;      ///< Empty for a zone: any other zone. Empty for a department: it leaves at the end.
    Core::WallTime start;
    Core::WallTime finishBy;
    MoveState state { MoveState::Declared };
    std::optional<Core::WallTime> pausedAt;
    std::string reason;        ///< Why it was paused or taken back.
    uint64_t rowVersion { 0 }; ///< Version of the row in the table service; 0 if unknown.

    bool operator==(Move const&) const = default;

    bool isFinal() const { return state == MoveState::Done || state == MoveState::TakenBack; }
    /// True if evidence about the version `to` limits the share. Moves of zones and departments depend on time only.
    bool isJudged() const { return kind == MoveKind::Version; }
};

}
