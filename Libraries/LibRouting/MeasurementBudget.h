#pragma once

#include <LibCore/Time.h>
#include <cstddef>

namespace Comfreysail::Routing {

/// Bytes per second that the load reports of one daemon may use, out of 29 KB/s for all its control traffic.
/// Heartbeats, evidence and settings need the rest.
inline constexpr double loadReportBudget = 12'000;

/// Limits on the cost of load reports of one daemon, over all its groups.
struct MeasurementLimits {
    /// Sent and received together. Half of loadReportBudget: the routing replay shows no gain above 6 KB/s, and a
    /// daemon cannot refuse the bytes that siblings send.
    double bytesPerSecond { 6'000 };
    double messagesPerSecond { 75 }; ///< Sent.

    /// 0.3% of a core. All control traffic together may use 1.9%.
    Core::Duration processorTimePerSecond { std::chrono::microseconds(3'000) };

    /// Unused budget that may be saved up, as the time in which it accrues.
    Core::Duration burst { std::chrono::milliseconds(200) };

    bool operator==(MeasurementLimits const&) const = default;
};

/// Token buckets for the bytes, messages and processor time of load reports. Every cost is taken in advance or charged
/// before the next message is sent, so over any interval t at most (t + burst) times the limit is sent.
class MeasurementBudget {
public:
    MeasurementBudget(MeasurementLimits, Core::Instant now);

    /// Takes one message of this size. Returns false, and takes nothing, unless all three buckets have enough tokens
    /// and stay above the reserve, the fraction of the burst in [0, 1] that is kept for more urgent messages.
    bool tryTake(size_t bytes, double reserve, Core::Instant now);

    /// Like tryTake(), but for bytes that are added to a message that was already taken.
    bool tryTakeBytes(size_t bytes, double reserve, Core::Instant now);

    /// Charges received bytes and processor time, which are spent without tryTake(). The buckets may become negative;
    /// nothing is sent until they have recovered.
    void charge(size_t bytes, Core::Duration processorTime, Core::Instant now);

    /// Returns true if there is not enough budget for one message of this size, so that it is not worth looking for
    /// reports to send.
    bool isExhausted(size_t minMessageBytes, Core::Instant now);

private:
    void refill(Core::Instant now);

    MeasurementLimits m_limits;
    double m_burstSeconds;
    double m_bytes;
    double m_messages;
    double m_processorSeconds;
    Core::Instant m_refilledAt;
};

}
