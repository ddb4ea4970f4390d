#pragma once

#include <LibCore/Time.h>

namespace Comfreysail::Routing {

/// Estimates how many times slower than typical a target is, from work done for each answer. Work is measured in
/// typical service times: a target that runs n requests for one typical service time has done n units, and a healthy
/// one answers once for each unit. Work that has not led to an answer yet counts at once, so a sudden stop is seen
/// after a few service times and not only when the late answers arrive.
class SpeedEstimate {
public:
    /// Adds work that the target did until now.
    void addWork(double units, Core::Instant now);

    /// One answer ended the work so far.
    void addAnswer(Core::Instant now);

    /// 1 for a target of typical speed, larger for slower ones. Falls back to 1 while nothing is in flight, because
    /// only new requests can show that the target has recovered.
    double slowness(double unfinishedUnits, bool isIdle, Core::Instant now) const;

private:
    double m_work { 0 };
    double m_answers { 0 };
    double m_openWork { 0 }; ///< Work since the last answer.
    Core::Instant m_lastChange;
};

}
