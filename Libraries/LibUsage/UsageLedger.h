#pragma once

#include <LibUsage/UsagePush.h>
#include <vector>

namespace Comfreysail::Usage {

/// What a collector has received from one VM.
struct UsageSource {
    std::map<std::string, CountsByWindow, std::less<>> counts; ///< By incarnation.
    std::optional<Core::Duration> wallOffset;
    Core::Instant heardAt {};
};

/// What a collector has received from all VMs, by VM.
struct UsageLedger {
    UsageOptions options;
    std::map<std::string, UsageSource, std::less<>> sources;
    /// Senders had given up pushes that arrived earlier, since this process was paused.
    Core::Instant trustedFrom {};
    size_t heardByOther { 0 }; ///< Number of daemons of which another collector has heard, as it said last.
    Core::Instant heardByOtherAt {};
};

/// Merges a push. Counts of windows that cannot be reported any more, or that are in the future, are left out, so that
/// a daemon with a wrong clock does not fill the memory. Before true time is known all are kept for a moment.
void mergePush(UsageLedger&, UsagePush const&, std::optional<Core::Duration> trueTime, Core::Instant now);

/// Drops windows that cannot be reported any more and VMs that were not heard of for minutes.
void maintainLedger(UsageLedger&, std::optional<Core::Duration> trueTime, Core::Instant now);

/// The sum over all daemons.
ReportedCounts countsOf(UsageLedger const&, WindowId);

/// The offsets of the VMs that were heard of recently.
std::vector<Core::Duration> recentOffsets(UsageLedger const&, Core::Instant now);

/// Number of VMs that were heard of recently, and after the last pause of this process.
size_t recentSources(UsageLedger const&, Core::Instant now);

/// Records that this process was paused. Pushes that senders give up after `pushTimeout` may still be read.
void notePause(UsageLedger&, Core::Duration pushTimeout, Core::Instant now);

/// Records of how many daemons, itself included, another collector has heard recently.
void noteOtherCollector(UsageLedger&, size_t heard, Core::Instant now);

/// Returns false if this daemon lacks counts that another candidate may have: fewer than half of the members were heard
/// of, or fewer than another collector has heard of, or it was not yet asked after a pause of this process.
bool hasCountsOfMost(UsageLedger const&, size_t members, Core::Instant now);

}
