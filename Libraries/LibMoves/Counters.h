#pragma once

#include <cstdint>

namespace Comfreysail::Moves {

/// Results of calls. Each count only increases at the daemon that counts, so of two values the larger one is newer.
struct Counters {
    uint64_t successes { 0 };
    uint64_t failures { 0 };
    uint64_t lost { 0 };            ///< See Outcome::Lost.
    uint64_t loadedSuccesses { 0 }; ///< Successes while every slot of the target was in use.
    uint64_t timed { 0 };           ///< Successes on targets without a cold start; only their latency is counted.
    uint64_t logLatencySum { 0 };   ///< Sum of log2(latency in microseconds) in units of 1/16, over the `timed` calls.
    uint64_t logLatencySquareSum { 0 }; ///< Sum of the squares of the same values.

    bool operator==(Counters const&) const = default;

    uint64_t calls() const { return successes + failures + lost; }

    Counters& operator+=(Counters const&);
    /// Sets each count to the larger of the two. Returns true if any count increased.
    bool mergeMaximum(Counters const&);
};

}
