#pragma once

#include <LibCore/ErrorKind.h>

namespace Comfreysail::Tool {

/// Exit codes of the tool, as --help documents them.
enum class ExitCode : int { // NOLINT(performance-enum-size): main() returns an int.
    Done = 0,
    Failed = 1,
    Usage = 2,
    Conflict = 3,
    OutcomeUnknown = 4,
    DaemonUnreachable = 5, ///< route only.
    UnknownHost = 6,       ///< route only.
};

inline ExitCode exitCodeFor(Core::ErrorKind kind)
{
    switch (kind) {
    case Core::ErrorKind::InvalidSettings:
        return ExitCode::Usage;
    case Core::ErrorKind::RevisionConflict:
        return ExitCode::Conflict;
    case Core::ErrorKind::StoreOutcomeUnknown:
        return ExitCode::OutcomeUnknown;
    default:
        return ExitCode::Failed;
    }
}

}
