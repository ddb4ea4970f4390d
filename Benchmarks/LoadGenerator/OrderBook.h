#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace Comfreysail::Benchmarks {

/// Executions of each idempotency key, summed over all targets.
using ExecutionCounts = std::map<std::string, uint64_t>;

/// What the caller learned from one send of an order.
enum class OrderReply : uint8_t {
    Done,    ///< A 2xx answer, from a target or from a stored claim.
    NotRun,  ///< Refused with the outcome "not-run", or not sent.
    Unknown, ///< Anything else.
};

struct OrderFaults {
    uint64_t doubled { 0 };     ///< Ran more than once.
    uint64_t lost { 0 };        ///< Answered as done, but never ran.
    uint64_t falseNotRun { 0 }; ///< Every send was refused as not run, but it ran.
};

/// Records the replies to all orders and compares them with the executions at the targets.
class OrderBook {
public:
    void note(std::string const& key, OrderReply);
    OrderFaults compare(ExecutionCounts const&) const;

private:
    struct Replies {
        bool done { false };
        bool unknown { false };
    };

    std::map<std::string, Replies> m_orders;
};

}
