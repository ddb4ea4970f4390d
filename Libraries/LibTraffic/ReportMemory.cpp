#include <LibTraffic/ReportMemory.h>

namespace Comfreysail::Traffic {

using Core::Instant;

ReportDecision ReportMemory::note(std::string_view id, ReportPosition const& report, Instant now)
{
    auto const found = m_reports.find(id);
    auto const known = found == m_reports.end() ? std::nullopt : std::optional(found->second);
    auto const decision = decideOnReport(known, report, now);
    m_reports.insert_or_assign(std::string(id), decision.known);
    return decision;
}

void ReportMemory::noteRemoved(std::string_view id, Instant now)
{
    auto const found = m_reports.find(id);
    if (found != m_reports.end() && !found->second.removedAt)
        found->second.removedAt = now;
}

void ReportMemory::noteAllPresent(std::set<std::string_view> const& ids, Instant now)
{
    for (auto& [id, report] : m_reports) {
        if (!report.removedAt && !ids.contains(id))
            report.removedAt = now;
    }
}

KnownReport const* ReportMemory::find(std::string_view id) const
{
    auto const found = m_reports.find(id);
    return found == m_reports.end() ? nullptr : &found->second;
}

void ReportMemory::forgetRemoved(Instant now)
{
    std::erase_if(m_reports,
        [now](auto const& item) { return item.second.removedAt && now - *item.second.removedAt > reportTimeout; });
}

}
