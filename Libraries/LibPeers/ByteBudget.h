#pragma once

#include <LibCore/Time.h>
#include <cstdint>

namespace Comfreysail::Peers {

/// Limits bytes a second on average. A message may be sent while the balance is positive and may overdraw it, so that
/// one larger than a second's budget (settings) gets through and is paid for afterwards.
class ByteBudget {
public:
    ByteBudget(uint64_t bytesPerSecond, Core::Instant now);

    bool hasBalance(Core::Instant now);
    void spend(uint64_t bytes);
    /// Time until the balance is positive again.
    Core::Duration untilBalance() const;

private:
    double m_bytesPerSecond;
    double m_balance;
    Core::Instant m_refilledAt;
};

}
