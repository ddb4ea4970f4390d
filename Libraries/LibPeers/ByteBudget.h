#pragma once

#include <LibCore/Time.h>
#include <cstdint>

namespace Comfreysail::Peers {

/// Token bucket that limits the average number of bytes per second. Holds at most the budget of one second. A message
/// may be sent while the balance is positive and may make it negative, so that a message larger than the budget of one
/// second (the settings) can be sent; later messages wait until the balance is positive again.
class ByteBudget {
public:
    ByteBudget(uint64_t bytesPerSecond, Core::Instant now);

    /// Refills the budget and returns true if the balance is positive.
    bool hasBalance(Core::Instant now);
    void spend(uint64_t bytes);
    /// Returns the time from the last refill until the balance is positive.
    Core::Duration untilBalance() const;

private:
    double m_bytesPerSecond;
    double m_balance;
    Core::Instant m_refilledAt;
};

}
