#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace Comfreysail::Benchmarks {

/// Simulated messages in transit, ordered by their time of arrival.
template<typename Item> class DelayedQueue {
public:
    void push(Core::Instant arrival, Item item) { m_items.emplace(arrival, std::move(item)); }

    std::optional<Core::Instant> nextArrival() const
    {
        return m_items.empty() ? std::nullopt : std::optional(m_items.begin()->first);
    }

    Item pop() { return std::move(m_items.extract(m_items.begin()).mapped()); }

private:
    std::multimap<Core::Instant, Item> m_items;
};

}
