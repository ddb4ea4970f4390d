#include <LibTraffic/TargetReport.h>

namespace Comfreysail::Traffic {

using Core::Instant;

ReportPosition positionOf(RegisteredTarget const& target) { return { target.startedAt, target.sequence }; }

bool isOlder(ReportPosition const& report, ReportPosition const& known)
{
    if (report.startedAt == 0 || known.startedAt == 0)
        return false;
    if (report.startedAt != known.startedAt)
        return report.startedAt < known.startedAt;
    return report.sequence && report.sequence < known.sequence;
}

ReportDecision decideOnReport(std::optional<KnownReport> const& known, ReportPosition const& report, Instant now)
{
    bool const isOutdated = known && isOlder(report, known->position);
    auto const outdatedSince = known ? known->outdatedSince.value_or(now) : now;
    if (!isOutdated || now - outdatedSince > reportTimeout)
        return { true, { report, std::nullopt, std::nullopt } };
    return { false, { known->position, outdatedSince, known->removedAt } };
}

}
