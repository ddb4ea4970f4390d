#pragma once

#include <LibCore/Time.h>
#include <LibRouting/FailureEstimate.h>
#include <LibRouting/InFlightRequest.h>
#include <LibRouting/Knowledge.h>
#include <LibRouting/LoadHint.h>
#include <LibRouting/SendOutcome.h>
#include <LibRouting/ServiceTimes.h>
#include <LibRouting/SpeedEstimate.h>
#include <LibRouting/Target.h>
#include <LibRouting/WarmUp.h>
#include <vector>

namespace Comfreysail::Routing {

/// Everything that a group knows about one target.
class TargetRecord {
public:
    TargetRecord(Target, Knowledge, Core::Instant now);

    Target const& target() const { return m_target; }
    Knowledge knowledge() const { return m_knowledge; }
    unsigned inFlight() const { return static_cast<unsigned>(m_inFlight.size()); }
    bool connectFresh() const { return m_connectFresh; }
    FailureEstimate const& failures() const { return m_failures; }

    bool isExclusive() const { return m_isExclusive; }
    void setExclusive() { m_isExclusive = true; }

    bool isRemoved() const { return m_isRemoved; }
    void setRemoved(bool isRemoved) { m_isRemoved = isRemoved; }

    /// Draining by order of the operators or the platform.
    bool isDraining() const { return m_isDraining; }
    void setDraining() { m_isDraining = true; }

    /// Draining by the target's own word, which expires.
    bool saysDraining(Core::Instant now) const { return now < m_saysDrainingUntil; }

    /// The target at this name is another process now. Requests in flight to the old one still count.
    void replaceTarget(Target);

    /// Forgets what others' answers taught when it is older than the given time.
    void forgetBefore(Core::Instant);

    void observe(TargetState, Core::Instant now);
    void becomeCold();
    void becomeWarm();

    void noteSent(uint8_t costClass, ServiceTimes const&, Core::Instant now);
    void noteFinished(SendOutcome, Core::Instant sentAt, LoadHint const&, ServiceTimes&, Core::Instant now);

    /// How many times slower than typical the target is now.
    double slowness(ServiceTimes const&, Core::Instant now) const;

    /// Expected work in flight, in typical service times of the given cost class.
    double expectedWork(uint8_t costClass, ServiceTimes const&) const;

    /// True when every slot runs a request that typically takes several times as long as the given cost class.
    bool isBlockedByLong(uint8_t costClass, ServiceTimes const&) const;

    /// Requests that may be in flight when nothing is suspected.
    unsigned fullLimit() const;

    /// Limit while cold.
    unsigned coldLimit() const { return m_warmUp.limit(); }

private:
    double unitsSince(Core::Instant from, ServiceTimes const&, Core::Instant now) const;
    void settleWork(ServiceTimes const&, Core::Instant now);
    void startWaiting(Core::Instant now);
    void noteColdEvidence(SendOutcome, LoadHint const&, bool isSlow);

    Target m_target;
    Knowledge m_knowledge;
    std::vector<InFlightRequest> m_inFlight; ///< In the order of sending.
    Core::Instant m_workSettledAt;
    Core::Instant m_knownAt; ///< When an answer last told about the target.
    SpeedEstimate m_speed;
    FailureEstimate m_failures;
    WarmUp m_warmUp;
    Core::Instant m_saysDrainingUntil;
    bool m_ignoresColdHint { false };
    bool m_isDraining { false };
    bool m_isRemoved { false };
    bool m_isExclusive { false };
    bool m_connectFresh { true };
};

}
