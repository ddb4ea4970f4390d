#pragma once

#include <LibCore/Core.h>
#include <optional>
#include <string>
#include <string_view>

namespace Comfreysail::Claims {

/// Name of the claim table in the table service.
inline constexpr std::string_view claimTable = "claims";

/// State of the request that a claim row represents.
enum class RowState : uint8_t {
    Claimed,  ///< Only the holder may send the request.
    Finished, ///< A target responded; the status is stored.
    Released, ///< The request did not run and never will, so the key may be claimed again.
};

/// One row of the claim table, stored as JSON.
struct ClaimRow {
    std::string claimId;                     ///< Unique for each claim, so that the holder recognizes its own row.
    uint64_t fingerprint { 0 };              ///< Hash of the request, to detect a key reused for another request.
    Core::WallTime startBy;                  ///< Latest time at which a target may start the request.
    std::chrono::milliseconds timeout { 0 }; ///< Timeout of the request, from its start.
    Core::WallTime expiresAt;                ///< From this time on the row may be deleted or replaced.
    RowState state { RowState::Claimed };
    unsigned status { 0 }; ///< HTTP status of the response if finished, otherwise 0.

    bool operator==(ClaimRow const&) const = default;
};

/// A row and its version, which a conditional write must specify.
struct VersionedRow {
    ClaimRow row;
    int64_t version { 0 };

    bool operator==(VersionedRow const&) const = default;
};

/// Returns the row key for an idempotency key: a hash of service, department and key.
std::string claimRowKey(std::string_view service, std::string_view department, std::string_view idempotencyKey);

std::string encodeRow(ClaimRow const&);

/// Returns std::nullopt if the text is not a valid claim row.
std::optional<ClaimRow> decodeRow(std::string_view text);

}
