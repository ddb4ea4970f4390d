#pragma once

#include <LibCore/Time.h>
#include <cstddef>
#include <string>

namespace Comfreysail::RoutingReplay {

class Simulation;

/// What a policy spent on measuring load.
struct MeasurementCost {
    size_t bytesOfBusiestDaemon { 0 }; ///< Sent and received.
    size_t bytesOfAllDaemons { 0 };

    bool operator==(MeasurementCost const&) const = default;
};

/// A way to choose targets.
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

    /// A target ended a request, or gave it up because its start deadline had passed. Called at the target, without
    /// the way back.
    virtual void ended(Simulation&, size_t request, size_t target, bool isGivenUp) = 0;

    /// A daemon learns that a zone was taken out of service or returned.
    virtual void zoneChanged(Simulation&, size_t decider, size_t zone, bool isIn) = 0;

    virtual MeasurementCost measurementCost() const { return {}; }
};

}
