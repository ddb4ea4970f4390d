#include <LibPeers/ByteBudget.h>
#include <algorithm>

namespace Comfreysail::Peers {

ByteBudget::ByteBudget(uint64_t bytesPerSecond, Core::Instant now)
    : m_bytesPerSecond(static_cast<double>(std::max<uint64_t>(bytesPerSecond, 1)))
    , m_balance(m_bytesPerSecond)
    , m_refilledAt(now)
{
}

bool ByteBudget::hasBalance(Core::Instant now)
{
    auto const seconds = std::chrono::duration<double>(now - m_refilledAt).count();
    m_balance = std::min(m_bytesPerSecond, m_balance + std::max(0.0, seconds) * m_bytesPerSecond);
    m_refilledAt = std::max(m_refilledAt, now);
    return m_balance > 0;
}

void ByteBudget::spend(uint64_t bytes) { m_balance -= static_cast<double>(bytes); }

Core::Duration ByteBudget::untilBalance() const
{
    if (m_balance > 0)
        return {};
    return Core::Duration(1 + static_cast<int64_t>(-m_balance / m_bytesPerSecond * 1e6));
}

}
