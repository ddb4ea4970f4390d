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
    if (!known || !isOlder(report, known->position))
        return { true, { report, now, std::nullopt } };
    auto const outdatedSince = known->outdatedSince.value_or(now);
    if (now - outdatedSince > maxWriteDelay)
        return { true, { report, now, std::nullopt } };
    return { false, { known->position, now, outdatedSince } };
}

}
