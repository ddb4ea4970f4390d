#include <LibOverload/DepartmentShares.h>

#include <algorithm>
#include <chrono>

namespace Comfreysail::Overload {

using Core::Instant;

namespace {

// A daemon sends a few requests of a department in a second, so the mean covers several seconds.
constexpr Admission::DepartmentUsageOptions usageOptions {
    .averagingTime = std::chrono::seconds(5),
    .idleTimeout = std::chrono::seconds(10),
};
// With a smaller multiple, departments would exceed their share by chance.
constexpr double overShareFrom = 2;
// Below this mean number of requests in flight, one or two requests decide.
constexpr double minInFlight = 0.3;
// Idle departments are removed when there are more than this.
constexpr size_t maxDepartments = 256;

}

void DepartmentShares::noteSent(std::string_view department, Instant now)
{
    if (department.empty())
        return;
    auto found = m_departments.find(department);
    if (found == m_departments.end()) {
        dropIdle(now);
        found = m_departments.emplace(department, Admission::DepartmentUsage(usageOptions)).first;
    }
    found->second.noteRequest(1, now);
    found->second.noteSent(now);
}

void DepartmentShares::noteFinished(std::string_view department, Instant now)
{
    auto const found = m_departments.find(department);
    if (found != m_departments.end() && found->second.inFlight() > 0)
        found->second.noteFinished(now);
}

DepartmentShares::Total DepartmentShares::totalAt(Instant now) const
{
    Total total;
    for (auto const& [name, usage] : m_departments) {
        if (!usage.isActive(now))
            continue;
        total.inFlight += usage.meanInFlight(now);
        ++total.active;
    }
    return total;
}

double DepartmentShares::usage(std::string_view department, Instant now) const
{
    auto const found = m_departments.find(department);
    if (found == m_departments.end())
        return 0;
    auto const total = totalAt(now);
    if (total.active < 2 || total.inFlight <= 0)
        return 0;
    return found->second.meanInFlight(now) * total.active / total.inFlight;
}

bool DepartmentShares::isOverShare(std::string_view department, Instant now) const
{
    auto const found = m_departments.find(department);
    return found != m_departments.end() && found->second.meanInFlight(now) >= minInFlight
        && usage(department, now) >= overShareFrom;
}

void DepartmentShares::dropIdle(Instant now)
{
    if (m_departments.size() >= maxDepartments)
        std::erase_if(m_departments, [now](auto const& entry) { return !entry.second.isActive(now); });
}

}
