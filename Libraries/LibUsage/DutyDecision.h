#pragma once

#include <LibUsage/DutyState.h>

namespace Comfreysail::Usage {

enum class DutyAction : uint8_t {
    Wait,
    ReadRow,
    WriteRow, ///< Take the duty over, renew the lease, fix counts, or give windows up; composeWrite() has the row.
    Send,     ///< Send the report of a window whose counts are fixed.
};

struct DutyStep {
    DutyAction action { DutyAction::Wait };
    Core::Duration until {};     ///< For Wait: when to decide again at the latest, since boot.
    FixedWindow report {};       ///< For Send.
    uint64_t token { 0 };        ///< For Send.
    Core::Duration sendUntil {}; ///< For Send: the call has to end before this time, since boot.

    bool operator==(DutyStep const&) const = default;
};

/// When the candidate at this position reports the window, in true time.
Core::Duration candidateTime(UsageOptions const&, WindowId, size_t position);

/// Decides what to do next. The caller makes one call at a time and notes its result before it decides again.
DutyStep nextStep(DutyState&, DutyTime const& now);

/// The row to write. `countsOf` returns the counts of a window as they are known now.
DutyWrite composeWrite(DutyState const&, std::function<ReportedCounts(WindowId)> const& countsOf, DutyTime const& now);

/// Returns true if this process has the lease for a call that ends before the time, since boot.
bool hasLeaseUntil(DutyState const&, Core::Duration time);

void noteRead(DutyState&, DutyRead const&, DutyTime const& now);
/// A read failed, or a write that certainly had no effect.
void noteStoreFailure(DutyState&, DutyTime const& now);
/// `revision` is what the write gave to the row.
void noteWritten(DutyState&, DutyWrite const&, uint64_t revision);
/// The row had another revision. It has to be read again.
void noteConflict(DutyState&);
/// The write may have taken effect, or may still do so.
void noteWriteUnknown(DutyState&, DutyWrite const&, DutyTime const& now);
void noteSent(DutyState&, WindowId);
/// The platform did not accept the report, or its response was lost.
void noteSendFailure(DutyState&, DutyTime const& now);
/// Another daemon says that the windows up to this one are reported or given up.
void noteClosed(DutyState&, WindowId);

}
