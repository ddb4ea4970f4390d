#pragma once

#include <LibUsage/TrueClock.h>
#include <LibUsage/UsageCounts.h>
#include <optional>
#include <vector>

namespace Comfreysail::Usage {

/// A send that is counted until the target says that it did not execute it.
struct CountedSend {
    std::string department;
    Core::Instant sentAt {};
    std::optional<WindowId> window; ///< Absent if true time was not known at the send.
};

/// The sends of this process.
struct OwnCounts {
    UsageOptions options;
    CountsByWindow windows;
    std::vector<CountedSend> pending; ///< Sends whose window is not known yet.
};

/// Counts a send at the time at which it was made.
CountedSend countSend(OwnCounts&, TrueClock const&, std::string_view department, Core::Instant sentAt);

/// Takes back a send that the target did not execute.
void takeBack(OwnCounts&, TrueClock const&, CountedSend const&);

/// Assigns the pending sends to windows as soon as true time is known, and drops windows that are too old to be
/// reported.
void maintainCounts(OwnCounts&, TrueClock const&, Core::Instant now);

}
