#include <LibRouting/MeasurementBudget.h>
#include <algorithm>

namespace Comfreysail::Routing {

namespace {

double secondsOf(Core::Duration duration) { return std::chrono::duration<double>(duration).count(); }

}

MeasurementBudget::MeasurementBudget(MeasurementLimits limits, Core::Instant now)
    : m_limits(limits)
    , m_burstSeconds(secondsOf(limits.burst))
    , m_bytes(limits.bytesPerSecond * m_burstSeconds)
    , m_messages(limits.messagesPerSecond * m_burstSeconds)
    , m_processorSeconds(secondsOf(limits.processorTimePerSecond) * m_burstSeconds)
    , m_refilledAt(now)
{
}

void MeasurementBudget::refill(Core::Instant now)
{
    auto const elapsed = secondsOf(std::max(now - m_refilledAt, Core::Duration::zero()));
    m_refilledAt = std::max(now, m_refilledAt);
    auto const fill
        = [&](double& bucket, double rate) { bucket = std::min(bucket + rate * elapsed, rate * m_burstSeconds); };
    fill(m_bytes, m_limits.bytesPerSecond);
    fill(m_messages, m_limits.messagesPerSecond);
    fill(m_processorSeconds, secondsOf(m_limits.processorTimePerSecond));
}

bool MeasurementBudget::tryTakeBytes(size_t bytes, double reserve, Core::Instant now)
{
    refill(now);
    auto const kept = reserve * m_burstSeconds;
    auto const size = static_cast<double>(bytes);
    if (m_bytes - size < m_limits.bytesPerSecond * kept
        || m_processorSeconds <= secondsOf(m_limits.processorTimePerSecond) * kept)
        return false;
    m_bytes -= size;
    return true;
}

bool MeasurementBudget::tryTake(size_t bytes, double reserve, Core::Instant now)
{
    refill(now);
    if (m_messages - 1 < m_limits.messagesPerSecond * reserve * m_burstSeconds || !tryTakeBytes(bytes, reserve, now))
        return false;
    m_messages -= 1;
    return true;
}

void MeasurementBudget::charge(size_t bytes, Core::Duration processorTime, Core::Instant now)
{
    refill(now);
    m_bytes -= static_cast<double>(bytes);
    m_processorSeconds -= secondsOf(processorTime);
}

bool MeasurementBudget::isExhausted(size_t minMessageBytes, Core::Instant now)
{
    refill(now);
    return m_bytes < static_cast<double>(minMessageBytes) || m_messages < 1 || m_processorSeconds <= 0;
}

}
