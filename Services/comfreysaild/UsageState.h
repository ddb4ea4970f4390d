#pragma once

#include <LibUsage/Usage.h>
#include <memory>
#include <optional>
#include <string>

namespace Comfreysail::Daemon {

struct DutySettings;

/// What an entry daemon knows about usage: its own counts, those that it collects, and the duty to report them.
struct UsageState {
    Usage::UsageOptions options;
    std::string incarnation; ///< Of this process.
    Core::Instant startedAt {};
    Usage::TrueClock clock;
    Usage::OwnCounts own;
    Usage::UsageLedger collected; ///< From other daemons.
    Usage::DutyState duty;
};

/// Returns nullptr if no usage is to be reported.
std::unique_ptr<UsageState> makeUsageState(
    std::optional<DutySettings> const&, std::string const& vmName, Core::Instant now);

/// Counts a send for a department; does nothing without usage reports or without a department.
std::optional<Usage::CountedSend> countSend(UsageState*, std::string_view department, Core::Instant sentAt);

/// Takes back a counted send that the target did not execute.
void takeBackSend(UsageState*, std::optional<Usage::CountedSend> const&);

/// The sum of the counts of all daemons, as far as they have arrived here.
Usage::ReportedCounts countsOfAllDaemons(UsageState const&, Usage::WindowId);

/// Updates the clock from the store's, and drops what is too old.
void maintainUsage(UsageState&, std::optional<Core::Duration> storeTime, Core::Instant now);

/// The offset that the wall clocks of several VMs agree on; std::nullopt if too few of them were heard of.
std::optional<Core::Duration> agreedOffset(UsageState const&, size_t members, Core::WallTime wall, Core::Instant now);

}
