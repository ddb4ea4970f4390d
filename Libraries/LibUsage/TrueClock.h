#pragma once

#include <LibCore/Time.h>
#include <optional>
#include <vector>

namespace Comfreysail::Usage {

/// True time, as far as this daemon knows it: the store's steady clock, which all daemons follow, plus an offset that
/// is the median of what the wall clocks of several VMs say. The wall clock of one VM may be wrong by 40 minutes.
struct TrueClock {
    /// Store time minus time on the monotonic clock. Each observation lags by the time of a call, so the largest one of
    /// the last half minute counts.
    std::optional<Core::Duration> storeOffset;
    Core::Instant storeOffsetAt {}; ///< When the value was observed.
    /// True time minus store time; std::nullopt before the first agreement.
    std::optional<Core::Duration> agreedOffset;
};

/// Records the store's time at `now`, as Traffic::StoreClock states it.
void noteStoreTime(TrueClock&, Core::Duration storeTime, Core::Instant now);

/// The store's time, or std::nullopt if it is not known yet.
std::optional<Core::Duration> storeTimeAt(TrueClock const&, Core::Instant);

/// True time since the Unix epoch, or std::nullopt if it is not known yet.
std::optional<Core::Duration> trueTimeAt(TrueClock const&, Core::Instant);

/// This VM's wall clock relative to the store's clock, or std::nullopt if the latter is not known yet.
std::optional<Core::Duration> wallOffset(TrueClock const&, Core::WallTime wall, Core::Instant now);

/// The number of VMs whose offsets are needed for an agreement.
size_t offsetsNeeded(size_t members);

/// Returns the median of the VMs' offsets, or std::nullopt if there are too few.
std::optional<Core::Duration> agreeOnOffset(std::vector<Core::Duration> offsets, size_t members);

}
