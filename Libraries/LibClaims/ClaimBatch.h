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
    int64_t expectedVersion { 0 }; ///< 0: the row must be absent.
    std::string value;

    bool operator==(ClaimWrite const&) const = default;
};

/// One call of the table service: either all writes as one transaction, or a read of each key.
struct ClaimBatch {
    uint64_t id { 0 };
    std::vector<ClaimWrite> writes;
    std::vector<std::string> reads;

    bool operator==(ClaimBatch const&) const = default;
};

/// A row as the table service returns it. Version 0: the row does not exist.
struct StoredRow {
    int64_t version { 0 };
    std::string value;
};

/// The transaction took effect. One version for each write, in order.
struct BatchCommitted {
    std::vector<int64_t> versions;
};

struct BatchConflict {
    size_t index { 0 }; ///< Index of the write.
    StoredRow found;
};

/// The transaction was refused and nothing was written.
struct BatchConflicted {
    std::vector<BatchConflict> conflicts;
};

/// The transaction may have taken effect.
struct BatchAnswerLost { };

/// The transaction surely did not take effect.
struct BatchStoreDown { };

/// Rows of a read batch, one for each key, in order. Nothing: the read failed.
struct BatchRead {
    std::vector<std::optional<StoredRow>> rows;
};

using BatchResult = std::variant<BatchCommitted, BatchConflicted, BatchAnswerLost, BatchStoreDown, BatchRead>;

}
