#include <LibHTTP/TransferRate.h>

#include <algorithm>

namespace Comfreysail::HTTP {

TransferRate::TransferRate(size_t leastBytesPerSecond, Core::Duration stallTimeout)
    : m_leastBytesPerSecond(leastBytesPerSecond)
    , m_stallTimeout(stallTimeout)
{
}

Core::Instant TransferRate::begin(Core::Instant now)
{
    m_begin = now;
    return deadline(now);
}

Core::Instant TransferRate::note(size_t bytes, Core::Instant now)
{
    m_bytes += bytes;
    return deadline(now);
}

void TransferRate::end(Core::Instant now) { m_waited += now - m_begin; }

Core::Instant TransferRate::deadline(Core::Instant now) const
{
    auto const unlimited = now + m_stallTimeout;
    if (m_leastBytesPerSecond == 0)
        return unlimited;
    constexpr uint64_t microsecondsPerSecond = 1'000'000;
    auto const earned = Core::Duration(
        static_cast<int64_t>(static_cast<uint64_t>(m_bytes) * microsecondsPerSecond / m_leastBytesPerSecond));
    return std::min(unlimited, m_begin + m_stallTimeout + earned - m_waited);
}

}
