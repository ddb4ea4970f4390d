#pragma once

#include <LibCore/Time.h>
#include <array>
#include <cstddef>

namespace Comfreysail::Routing {

/// Number of cost classes that PickRequest::costClass may name.
inline constexpr size_t costClassCount = 4;

/// Typical time that a target of the group needs for a request, for each cost class. Lookups and downloads differ by
/// orders of magnitude, so one figure for both would call every target with a download slow.
class ServiceTimes {
public:
    /// Typical service time; zero while nothing has been measured.
    Core::Duration typical(size_t costClass) const { return m_typical[costClass]; }

    /// Adds the time from the start of service to the whole answer.
    void add(size_t costClass, Core::Duration sample);

private:
    std::array<Core::Duration, costClassCount> m_typical {};
    std::array<unsigned, costClassCount> m_samples {};
};

}
