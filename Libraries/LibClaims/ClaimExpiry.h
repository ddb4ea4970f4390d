#pragma once

#include <LibClaims/ClaimBatch.h>
#include <LibClaims/ClaimRow.h>
#include <vector>

namespace Comfreysail::Claims {

/// A row that a scan of the claim table returned.
struct ScannedRow {
    std::string key;
    StoredRow stored;
};

/// A delete on the condition that the row has the expected version.
struct ClaimDelete {
    std::string key;
    int64_t expectedVersion { 0 };

    bool operator==(ClaimDelete const&) const = default;
};

/// Number of key prefixes in a full sweep of the claim table.
inline constexpr unsigned sweepPrefixCount = 4096;

/// Returns the key prefix to scan in this step of the sweep. Steps wrap around at sweepPrefixCount.
std::string sweepPrefix(unsigned step);

/// Returns up to `limit` rows of a scan that may be deleted. Rows that cannot be decoded are kept.
///
/// A holder that was paused until after its row was deleted cannot run the request, because the row expires only after
/// the start-by time plus the retention time. The holder checks the start-by time before it sends, and targets reject a
/// request after the start-by time in its header. A later write of the row fails, because it expects a version that no
/// longer exists.
std::vector<ClaimDelete> expiredRows(std::vector<ScannedRow> const&, size_t limit, Core::WallTime now);

}
