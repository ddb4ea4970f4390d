#pragma once

#include <LibCore/Time.h>

namespace Comfreysail::Routing {

/// Estimates how many times slower than typical a target is, from the work that it does for each response. Work is
/// measured in typical service times: a target that runs n requests for one typical service time has done n units, and
/// a healthy target responds once per unit. Work that has not led to a response yet counts immediately, so a target
/// that stops suddenly is detected after a few service times, before its late responses arrive.
class SpeedEstimate {
public:
    /// Adds the work that the target did since the last call.
    void addWork(double units, Core::Instant now);

    /// Records a response, which completes the work so far.
    void addAnswer(Core::Instant now);

    /// Returns 1 for a target of typical speed and more for slower ones. Decays to 1 while nothing is in flight,
    /// because only new requests can show that the target has recovered.
    double slowness(double openUnits, bool isIdle, Core::Instant now) const;

private:
    double m_work { 0 };
    double m_answers { 0 };
    double m_openWork { 0 }; ///< Work since the last response.
    Core::Instant m_lastChange;
};

}
