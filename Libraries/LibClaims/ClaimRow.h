#pragma once

#include <LibCore/Core.h>
#include <optional>
#include <string>
#include <string_view>

namespace Comfreysail::Claims {

/// Table of the claim rows in the table service.
inline constexpr std::string_view claimTable = "claims";

/// State of the request that a claim row stands for.
enum class RowState : uint8_t {
    Claimed,  ///< Only the holder may send the request.
    Finished, ///< A target answered; the status is stored.
    Released, ///< The request surely did not run, so the key may be claimed again.
};

/// One row of the claim table. Its value is stored as JSON text.
struct ClaimRow {
    std::string claimId;        ///< Unique for each claim, so that a holder recognizes its own row.
    uint64_t fingerprint { 0 }; ///< Hash of the request, to detect a key that is reused for another request.
    Core::WallTime startBy;     ///< No target may start the request later.
    std::chrono::milliseconds timeout { 0 }; ///< The request's timeout.
    Core::WallTime expiresAt;                ///< The row may be deleted or replaced from this time on.
    RowState state { RowState::Claimed };
    unsigned status { 0 }; ///< HTTP status of the answer when finished, otherwise 0.

    bool operator==(ClaimRow const&) const = default;
};

/// A row together with the version that a conditional write has to name.
struct VersionedRow {
    ClaimRow row;
    int64_t version { 0 };

    bool operator==(VersionedRow const&) const = default;
};

/// Key of the row for an idempotency key: hash of service, department and key.
std::string claimRowKey(std::string_view service, std::string_view department, std::string_view idempotencyKey);

std::string encodeRow(ClaimRow const&);

/// Nothing when the text is not a claim row.
std::optional<ClaimRow> decodeRow(std::string_view text);

}
