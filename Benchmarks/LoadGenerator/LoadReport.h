#pragma once

#include "LatencyHistogram.h"
#include "OrderBook.h"
#include <array>
#include <string>

namespace Comfreysail::Benchmarks {

enum class CallKind : uint8_t { Lookup, Order, Download, Poison };

inline constexpr size_t callKindCount = 4;

/// How a call ended for its caller, after all sends.
enum class CallEnd : uint8_t {
    Answered,   ///< The complete and right answer.
    Refused,    ///< A daemon refused it.
    Failed,     ///< A target answered with an error.
    Unanswered, ///< No response.
    Cut,        ///< The response ended early.
    Wrong,      ///< A complete response that is not the answer to this request.
};

inline constexpr size_t callEndCount = 6;

struct LoadReport {
    std::array<std::array<uint64_t, callEndCount>, callKindCount> ends {};
    std::array<LatencyHistogram, callKindCount> latencies; ///< Of answered calls, from the planned start on.
    uint64_t started { 0 };
    uint64_t sends { 0 };
    OrderBook orders;
    std::map<std::string, uint64_t> refusals; ///< By Comfreysail-Error.

    void noteEnd(CallKind, CallEnd, double milliseconds);
    uint64_t count(CallEnd) const;

    /// One line of key=value pairs, for progress.
    std::string progressLine() const;
    /// All results. Orders are compared with the executions.
    std::string finalLine(ExecutionCounts const&) const;
};

}
