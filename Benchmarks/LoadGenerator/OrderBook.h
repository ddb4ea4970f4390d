#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace Comfreysail::Benchmarks {

/// Executions of each idempotency key, summed over all targets.
using ExecutionCounts = std::map<std::string, uint64_t>;

/// What one send of an order told the caller.
enum class OrderReply : uint8_t {
    Done,    ///< A 2xx answer, from a target or stored.
    NotRun,  ///< Refused as not run, or not sent.
    Unknown, ///< Anything else.
};

struct OrderFaults {
    uint64_t doubled { 0 };     ///< Ran more than once.
    uint64_t lost { 0 };        ///< Answered as done, but never ran.
    uint64_t falseNotRun { 0 }; ///< Every send was refused as not run, but it ran.
};

/// Replies to all orders, to be compared with what the targets ran.
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
