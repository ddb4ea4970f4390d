#pragma once

#include <chrono>
#include <cstddef>

namespace Comfreysail::Claims {

/// Limits for the claims of one daemon.
struct ClaimLimits {
    size_t maxBatch { 64 };        ///< Rows in one transaction.
    size_t maxWaiting { 4096 };    ///< Claims waiting for the table service; further ones are rejected.
    size_t maxBackground { 4096 }; ///< Rows to write after the caller was answered; further ones are dropped.
    std::chrono::milliseconds maxWait { 2000 };                     ///< Maximum wait of a request for its claim.
    std::chrono::milliseconds retryDelay { 200 };                   ///< Delay after a failed call to the table service.
    std::chrono::milliseconds retention { std::chrono::hours(24) }; ///< How long an idempotency key is remembered.

    bool operator==(ClaimLimits const&) const = default;
};

}
