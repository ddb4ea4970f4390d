#pragma once

#include <LibUsage/DutyRow.h>
#include <functional>
#include <optional>

namespace Comfreysail::Usage {

/// The present time by the clocks that decide about the duty.
struct DutyTime {
    /// Time since the Unix epoch, or std::nullopt if it is not known yet.
    std::optional<Core::Duration> trueTime;
    /// Core::suspendAwareNow(); leases are measured by it.
    Core::Duration sinceBoot {};
};

/// Result of reading the row.
struct DutyRead {
    std::optional<std::string> text; ///< Absent if the row does not exist.
    uint64_t revision { 0 };         ///< Of the row; 0 if it does not exist.
    uint64_t storeRevision { 0 };    ///< Of the newest change in the whole store.
    Core::Duration storeTime {};     ///< The store's clock at the read.
    Core::Duration startedAt {};     ///< When the read began, since boot.
};

/// A conditional write of the row.
struct DutyWrite {
    DutyRow row;
    std::string text;
    uint64_t expectedRevision { 0 };
    Core::Duration startedAt {}; ///< Since boot.
    bool isTakeover { false };
    /// Windows that this write gives up: from `firstAbandoned` to `row.closed`.
    std::optional<WindowId> firstAbandoned;
    /// A window was given up because its counts are longer than a value of the store may be.
    bool isTooLarge { false };
};

/// What a daemon knows about the duty.
struct DutyState {
    UsageOptions options;
    std::string self;        ///< Name of this VM.
    std::string incarnation; ///< Of this process.
    size_t position { 0 };   ///< In the order of candidates; 0 is the first.

    std::optional<DutyRow> row; ///< As last read or written; absent if it does not exist or was not read.
    uint64_t revision { 0 };
    uint64_t storeRevision { 0 };
    bool hasRead { false };           ///< The row was read at least once.
    bool isCutOffFromStore { false }; ///< The last call to the store failed.
    bool isCurrent { false };         ///< The row may be written on the condition of its known revision.
    Core::Duration readStoreTime {};  ///< The store's clock at the last read.
    Core::Duration lastReadStart {};  ///< When the last read began, since boot.
    Core::Duration revisionSeenAt {}; ///< When a read first returned the present revision, since boot.
    /// Added to a time since boot gives the store's time then, or slightly more.
    Core::Duration storeClockBound {};
    /// Start of the write that gave this process the lease, since boot; absent if it does not have the lease.
    std::optional<Core::Duration> leaseStart;
    /// Start of the first write since the last read whose end is not known.
    std::optional<Core::Duration> unknownWriteStart;
    uint64_t unknownToken { 0 }; ///< The token of that write.

    std::optional<WindowId> closed;  ///< Windows up to this one are known to be reported or given up.
    std::optional<WindowId> assumed; ///< Windows up to this one are left to others until the row was read.
    Core::Duration notBefore {};     ///< No call is made earlier, since boot.
    Core::Duration backoff {};
};

}
