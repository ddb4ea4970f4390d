#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

namespace Comfreysail::Traffic {

struct BodyBudgetOptions {
    /// Bound for the request bodies that the daemon holds at the same time.
    size_t capacityBytes { size_t { 64 } << 20 };
    /// Bodies up to this size do not wait for larger ones.
    size_t smallBodyBytes { size_t { 64 } << 10 };
    /// Fraction of the capacity that only small bodies may use, so that large uploads do not delay short requests.
    double fractionForSmallBodies { 0.25 };

    bool operator==(BodyBudgetOptions const&) const = default;
};

/// Memory for the request bodies of all callers. A body is received completely before its target is chosen. A body
/// whose length is known reserves all of it before the first byte is read, so a body that has its memory never waits
/// for another one. Until then the caller's connection is not read, which slows the caller down.
class BodyBudget {
public:
    using Ticket = uint64_t;

    explicit BodyBudget(BodyBudgetOptions = {});

    /// Reserves memory now. Returns false if there is not enough, or if a large body would overtake others that wait.
    /// A body larger than the capacity gets its memory when no large body holds any.
    bool tryReserve(size_t bytes);
    /// Adds to the memory of a body of unknown length, which has `held` bytes so far. Bodies that wait have no
    /// precedence, since this one could not release its memory meanwhile.
    bool tryGrow(size_t held, size_t bytes);
    void release(size_t bytes);

    /// Waits in line for memory. Release() grants it to the waiting bodies in the order of their arrival.
    Ticket enqueue(size_t bytes);
    /// Returns true once the memory was granted.
    bool isGranted(Ticket) const;
    /// Leaves the line. If the memory was granted, it is not released.
    void cancel(Ticket);

    size_t usedBytes() const { return m_used; }
    size_t capacityBytes() const { return m_options.capacityBytes; }
    size_t waiting() const { return m_waiting.size(); }

private:
    struct Waiting {
        Ticket ticket { 0 };
        size_t bytes { 0 };
    };

    bool fits(size_t total, size_t bytes) const;
    void grantWaiting();

    BodyBudgetOptions m_options;
    size_t m_used { 0 };
    std::deque<Waiting> m_waiting;
    Ticket m_lastTicket { 0 };
};

}
