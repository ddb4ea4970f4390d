#pragma once

#include <LibCore/Time.h>
#include <cstddef>
#include <string>

namespace Comfreysail::RoutingReplay {

class Simulation;

/// Network traffic that a policy used to measure load.
struct MeasurementCost {
    size_t bytesOfBusiestDaemon { 0 }; ///< Sent and received.
    size_t bytesOfAllDaemons { 0 };

    bool operator==(MeasurementCost const&) const = default;
};

/// A load balancing policy, which chooses the target of each request.
class Policy {
public:
    Policy() = default;
    Policy(Policy const&) = delete;
    Policy& operator=(Policy const&) = delete;
    virtual ~Policy() = default;

    virtual std::string name() const = 0;

    /// Called once before the first request.
    virtual void start(Simulation&) = 0;

    /// A request arrives at a daemon. The policy ends it with Simulation::finish() or Simulation::refuse().
    virtual void arrive(Simulation&, size_t request) = 0;

    /// A target completed a request, or dropped it because its start deadline had passed. Called at the time at which
    /// this happens on the target; the policy adds the delay of the answer.
    virtual void ended(Simulation&, size_t request, size_t target, bool isExpired) = 0;

    /// A daemon learns that a zone was taken out of service or put back into service.
    virtual void zoneChanged(Simulation&, size_t daemon, size_t zone, bool isIn) = 0;

    virtual MeasurementCost measurementCost() const { return {}; }
};

}
