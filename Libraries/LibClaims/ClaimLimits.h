#pragma once

#include <chrono>
#include <cstddef>

namespace Comfreysail::Claims {

/// Bounds of a daemon's claims.
struct ClaimLimits {
    size_t maxBatch { 64 };                       ///< Rows in one transaction.
    size_t maxWaiting { 4096 };                   ///< Claims that wait for the table service; more are refused.
    size_t maxBackground { 4096 };                ///< Rows to finish or release after the answer; more are dropped.
    std::chrono::milliseconds maxWait { 2000 };   ///< Longest wait of a request for its claim.
    std::chrono::milliseconds retryDelay { 200 }; ///< Pause after a failed call of the table service.
    std::chrono::milliseconds retention { std::chrono::hours(24) }; ///< Time that a key is remembered.

    bool operator==(ClaimLimits const&) const = default;
};

}
