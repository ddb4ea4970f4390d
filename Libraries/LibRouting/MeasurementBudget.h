#pragma once

#include <LibCore/Time.h>
#include <cstddef>

namespace Comfreysail::Routing {

/// Bytes a second that load reports of one daemon may use of the 29 KB/s for all its control; heartbeats, evidence and
/// settings need the rest.
inline constexpr double loadReportBudget = 12'000;

/// Upper limits for load measurement by one daemon, over all its groups.
struct MeasurementLimits {
    /// Sent and received together. Half of loadReportBudget, because the replay shows no gain above 6 KB/s, and the
    /// bytes that siblings send cannot be refused.
    double bytesPerSecond { 6'000 };
    double messagesPerSecond { 75 }; ///< Sent.

    /// 0.3% of a core; all control may use 1.9%.
    Core::Duration processorTimePerSecond { std::chrono::microseconds(3'000) };

    /// Unused budget that may be saved up, as a time.
    Core::Duration burst { std::chrono::milliseconds(200) };

    bool operator==(MeasurementLimits const&) const = default;
};

/// Token bucket for the bytes, messages and processor time of load measurement. Costs are known or charged before
/// anything else is sent, so over any interval t no more than (t + burst) times the limit is sent.
class MeasurementBudget {
public:
    MeasurementBudget(MeasurementLimits, Core::Instant now);

    /// Takes one message of this size if all three buckets allow it and stay above the reserve, a part of the burst in
    /// [0, 1] that is kept for more urgent messages.
    bool tryTake(size_t bytes, double reserve, Core::Instant now);

    /// The same for bytes that join a message already taken.
    bool tryTakeBytes(size_t bytes, double reserve, Core::Instant now);

    /// Charges what was spent without asking: received bytes and processor time. The buckets may become negative; then
    /// nothing is sent until they have recovered.
    void charge(size_t bytes, Core::Duration processorTime, Core::Instant now);

    /// True when not even one message of this size can be paid, so that looking for work is a waste as well.
    bool isExhausted(size_t smallestMessage, Core::Instant now);

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
