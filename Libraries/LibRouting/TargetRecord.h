#pragma once

#include <LibCore/Time.h>
#include <LibRouting/FailureEstimate.h>
#include <LibRouting/InFlightRequest.h>
#include <LibRouting/LoadHint.h>
#include <LibRouting/SendOutcome.h>
#include <LibRouting/ServiceTimes.h>
#include <LibRouting/SpeedEstimate.h>
#include <LibRouting/Target.h>
#include <LibRouting/WarmUp.h>
#include <LibRouting/WarmUpState.h>
#include <vector>

namespace Comfreysail::Routing {

/// The state of one target in a group.
class TargetRecord {
public:
    TargetRecord(Target, WarmUpState, Core::Instant now);

    Target const& target() const { return m_target; }
    WarmUpState warmUpState() const { return m_warmUpState; }
    unsigned inFlight() const { return static_cast<unsigned>(m_inFlight.size()); }
    bool connectFresh() const { return m_connectFresh; }
    FailureEstimate const& failures() const { return m_failures; }

    bool isExclusive() const { return m_isExclusive; }
    void setExclusive() { m_isExclusive = true; }

    bool isRemoved() const { return m_isRemoved; }
    void setRemoved(bool isRemoved) { m_isRemoved = isRemoved; }

    /// Returns true if the operators or the platform set the target to draining.
    bool isDraining() const { return m_isDraining; }
    void setDraining() { m_isDraining = true; }

    /// Returns true if the target reported that it is draining. The report expires.
    bool reportsDraining(Core::Instant now) const { return now < m_reportsDrainingUntil; }

    /// Called when another process now has this target's name. Requests in flight to the old process still count.
    void replaceTarget(Target);

    /// Resets the state of a warm target without requests in flight to Unknown if its last response or observation is
    /// older than the given time.
    void forgetWarmthBefore(Core::Instant);

    void observe(TargetState, Core::Instant now);
    void becomeCold();
    void becomeWarm();

    void noteSent(uint8_t costClass, ServiceTimes const&, Core::Instant now);
    void noteFinished(SendOutcome, Core::Instant sentAt, LoadHint const&, ServiceTimes&, Core::Instant now);

    /// Returns how many times slower than typical the target currently is.
    double slowness(ServiceTimes const&, Core::Instant now) const;

    /// Returns the expected work of the requests in flight, in typical service times of the given cost class.
    double expectedWork(uint8_t costClass, ServiceTimes const&) const;

    /// Returns true if every slot runs a request that typically takes several times as long as one of the given cost
    /// class.
    bool isOccupiedByLongRequests(uint8_t costClass, ServiceTimes const&) const;

    /// Maximum number of requests in flight on a warm target that is not suspect.
    unsigned fullLimit() const;

    /// Maximum number of requests in flight while cold.
    unsigned coldLimit() const { return m_warmUp.limit(); }

private:
    double workSince(Core::Instant from, ServiceTimes const&, Core::Instant now) const;
    void accountWork(ServiceTimes const&, Core::Instant now);
    void startWaitingRequests(Core::Instant now);
    void noteColdEvidence(SendOutcome, LoadHint const&, bool isSlow);

    Target m_target;
    WarmUpState m_warmUpState;
    std::vector<InFlightRequest> m_inFlight; ///< In send order.
    Core::Instant m_workAccountedAt;
    Core::Instant m_lastKnownAt; ///< Time of the last response or observation.
    SpeedEstimate m_speed;
    FailureEstimate m_failures;
    WarmUp m_warmUp;
    Core::Instant m_reportsDrainingUntil;
    bool m_ignoresColdHint { false };
    bool m_isDraining { false };
    bool m_isRemoved { false };
    bool m_isExclusive { false };
    bool m_connectFresh { true };
};

}
