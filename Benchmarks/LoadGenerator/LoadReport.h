#pragma once

#include "LatencyHistogram.h"
#include "OrderBook.h"
#include <array>
#include <string>

namespace Comfreysail::Benchmarks {

enum class CallKind : uint8_t { Lookup, Order, Download, Poison };

inline constexpr size_t callKindCount = 4;

/// How a call ended for its caller, after all its sends.
enum class CallEnd : uint8_t {
    Answered,   ///< Complete response with the expected answer.
    Refused,    ///< A daemon refused it.
    Failed,     ///< A target answered with an error.
    Unanswered, ///< No response.
    Cut,        ///< The response body is incomplete.
    Wrong,      ///< A complete response that is not the answer to this request.
};

inline constexpr size_t callEndCount = 6;

struct LoadReport {
    std::array<std::array<uint64_t, callEndCount>, callKindCount> ends {};
    std::array<LatencyHistogram, callKindCount> latencies; ///< Of answered calls, from the planned start to the end.
    uint64_t started { 0 };
    uint64_t sends { 0 };
    OrderBook orders;
    std::map<std::string, uint64_t> refusals; ///< Count for each value of Comfreysail-Error.

    void noteEnd(CallKind, CallEnd, double milliseconds);
    uint64_t count(CallEnd) const;

    /// Returns the progress so far as a line of key=value pairs.
    std::string progressLine() const;
    /// Returns all results as a line of key=value pairs. Compares the replies to orders with the executions.
    std::string finalLine(ExecutionCounts const&) const;
};

}
