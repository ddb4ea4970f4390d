#pragma once

#include <LibCore/Time.h>
#include <array>
#include <cstddef>

namespace Comfreysail::Routing {

/// Number of cost classes; PickRequest::costClass is below it.
inline constexpr size_t costClassCount = 4;

/// Typical service time of the group's targets for each cost class. Lookups and downloads differ by orders of
/// magnitude, so with a single value every target with a download would look slow.
class ServiceTimes {
public:
    /// Returns the typical service time, or zero while nothing has been measured.
    Core::Duration typical(size_t costClass) const { return m_typical[costClass]; }

    /// Adds a sample: the time from the start of service to the complete response.
    void add(size_t costClass, Core::Duration sample);

private:
    std::array<Core::Duration, costClassCount> m_typical {};
    std::array<unsigned, costClassCount> m_samples {};
};

}
