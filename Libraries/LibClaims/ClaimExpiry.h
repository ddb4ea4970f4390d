#pragma once

#include <LibClaims/ClaimBatch.h>
#include <LibClaims/ClaimRow.h>
#include <vector>

namespace Comfreysail::Claims {

/// A row from a scan of the claim table.
struct ScannedRow {
    std::string key;
    StoredRow stored;
};

/// A conditional delete.
struct ClaimDelete {
    std::string key;
    int64_t expectedVersion { 0 };

    bool operator==(ClaimDelete const&) const = default;
};

/// Number of key prefixes that a full sweep scans.
inline constexpr unsigned sweepPrefixCount = 4096;

/// Key prefix to scan in a step of the sweep; steps wrap around.
std::string sweepPrefix(unsigned step);

/// Rows of a scan that may be deleted, at most `limit`. Rows that cannot be decoded stay.
///
/// A holder that wakes after its row was deleted cannot run the request: the row expires only after the start-by time
/// plus the retention time. The holder checks the start-by time before it sends, and targets refuse to start a request
/// after the start-by time in its header. Its later write of the row expects a version that no longer exists.
std::vector<ClaimDelete> expiredRows(std::vector<ScannedRow> const&, size_t limit, Core::WallTime now);

}
