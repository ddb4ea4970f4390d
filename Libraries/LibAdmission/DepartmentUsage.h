#pragma once

#include <LibAdmission/DepartmentUsageOptions.h>
#include <cstddef>

namespace Comfreysail::Admission {

/// Usage of one AdmissionQueue by a department, over all classes.
class DepartmentUsage {
public:
    explicit DepartmentUsage(DepartmentUsageOptions const& options = {})
        : m_options(options)
    {
    }

    void noteRequest(unsigned weight, Core::Instant now);
    void noteQueued() { ++m_queued; }
    void noteDequeued() { --m_queued; }
    void noteSent(Core::Instant now);
    void noteFinished(Core::Instant now);

    unsigned weight() const { return m_weight; }
    size_t queued() const { return m_queued; }
    size_t inFlight() const { return m_inFlight; }

    /// Returns the number of requests in flight, averaged over the averaging time. The momentary number says little
    /// about which department uses too much.
    double meanInFlight(Core::Instant now) const;

    /// Returns true while the department has requests or had some within the idle timeout.
    bool isActive(Core::Instant now) const;

private:
    void updateMean(Core::Instant now);

    DepartmentUsageOptions m_options;
    unsigned m_weight { 1 };
    size_t m_queued { 0 };
    size_t m_inFlight { 0 };
    Core::Instant m_lastRequestAt;
    double m_meanInFlight { 0 };
    Core::Instant m_meanUpdatedAt;
};

}
