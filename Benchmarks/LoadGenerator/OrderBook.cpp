#include "OrderBook.h"

namespace Comfreysail::Benchmarks {

void OrderBook::note(std::string const& key, OrderReply reply)
{
    auto& replies = m_orders[key];
    replies.done = replies.done || reply == OrderReply::Done;
    replies.unknown = replies.unknown || reply == OrderReply::Unknown;
}

OrderFaults OrderBook::compare(ExecutionCounts const& executions) const
{
    OrderFaults faults;
    for (auto const& [key, replies] : m_orders) {
        auto const found = executions.find(key);
        auto const count = found == executions.end() ? 0 : found->second;
        faults.doubled += count > 1 ? 1 : 0;
        faults.lost += replies.done && count == 0 ? 1 : 0;
        faults.falseNotRun += !replies.done && !replies.unknown && count > 0 ? 1 : 0;
    }
    return faults;
}

}
