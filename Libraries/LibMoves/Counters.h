#pragma once

#include <cstdint>

namespace Comfreysail::Moves {

/// Counts that only grow at their origin, so the larger one is the newer one.
struct Counters {
    uint64_t successes { 0 };
    uint64_t failures { 0 };
    uint64_t lost { 0 };
    uint64_t loadedSuccesses { 0 };
    uint64_t timed { 0 };               ///< Calls with a latency that counts.
    uint64_t logLatencySum { 0 };       ///< Of log2(microseconds) in 1/16, over `timed`.
    uint64_t logLatencySquareSum { 0 }; ///< Of its square.

    bool operator==(Counters const&) const = default;

    uint64_t calls() const { return successes + failures + lost; }

    Counters& operator+=(Counters const&);
    /// Takes the larger of each count; returns whether anything grew.
    bool raiseTo(Counters const&);
};

}
