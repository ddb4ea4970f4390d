#pragma once

#include <LibCore/Result.h>
#include <LibUsage/UsageCounts.h>
#include <vector>

namespace Comfreysail::Usage {

/// Counts that were fixed before they were sent for the first time.
struct FixedWindow {
    WindowId window { 0 };
    ReportedCounts counts;

    bool operator==(FixedWindow const&) const = default;
};

/// The store's row of the duty. Each change is a write on the condition that the row has not changed.
struct DutyRow {
    std::string holder;      ///< Name of the VM that has the duty.
    std::string incarnation; ///< Of the holder's process.
    uint64_t token { 0 };    ///< Increases with each takeover.
    /// The store's time when the holder began its last write, or slightly later; the lease runs from then on.
    Core::Duration renewedAt {};
    WindowId closed { 0 };          ///< Windows up to this one are reported or given up.
    std::vector<FixedWindow> fixed; ///< The windows after `closed`, without gaps.

    bool operator==(DutyRow const&) const = default;
};

std::string encodeDutyRow(DutyRow const&);
/// Error: MalformedMessage.
Core::Result<DutyRow> decodeDutyRow(std::string_view);

}
