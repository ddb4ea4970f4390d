#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Comfreysail::Claims {

/// One conditional write of a claim row.
struct ClaimWrite {
    std::string key;
    int64_t expectedVersion { 0 }; ///< 0 if the row must not exist.
    std::string value;

    bool operator==(ClaimWrite const&) const = default;
};

/// One call to the table service: either a transaction of all writes, or a read of each key.
struct ClaimBatch {
    uint64_t id { 0 };
    std::vector<ClaimWrite> writes;
    std::vector<std::string> reads;

    bool operator==(ClaimBatch const&) const = default;
};

/// A row returned by the table service. Version 0 means that the row does not exist.
struct StoredRow {
    int64_t version { 0 };
    std::string value;
};

/// The transaction was committed. Holds the new version of each written row, in order.
struct BatchCommitted {
    std::vector<int64_t> versions;
};

/// A write whose row did not have the expected version.
struct BatchConflict {
    size_t index { 0 }; ///< Index of the write.
    StoredRow found;
};

/// The transaction was rejected because of conflicts, and nothing was written.
struct BatchConflicted {
    std::vector<BatchConflict> conflicts;
};

/// The response was lost, so the transaction may have been committed.
struct BatchAnswerLost { };

/// The call failed, and the transaction was certainly not committed.
struct BatchStoreDown { };

/// Rows of a read batch, one for each key, in order. std::nullopt means that the read failed.
struct BatchRead {
    std::vector<std::optional<StoredRow>> rows;
};

using BatchResult = std::variant<BatchCommitted, BatchConflicted, BatchAnswerLost, BatchStoreDown, BatchRead>;

}
