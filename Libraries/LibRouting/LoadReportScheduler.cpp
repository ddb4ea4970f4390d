#include <LibRouting/LoadReportScheduler.h>
#include <algorithm>

namespace Comfreysail::Routing {

namespace {

// Loads change within milliseconds, but more frequent reports gain little (see docs/notes/routing.md).
constexpr Core::Duration minReportInterval = std::chrono::milliseconds(20);

// An unchanged load is repeated at this interval to show the recipient that the home is alive.
constexpr Core::Duration repetitionInterval = std::chrono::milliseconds(200);

// After a home reported pressure, it gets reports for this long without reporting pressure again.
constexpr Core::Duration pressureValidity = std::chrono::milliseconds(400);

// Fractions of the burst that reports of low urgency must leave unused.
constexpr double repetitionReserve = 0.6;
constexpr double changeReserve = 0.3;

}

LoadReportScheduler::LoadReportScheduler(MeasurementLimits limits, Core::Instant now)
    : m_budget(limits, now)
{
}

void LoadReportScheduler::setSiblings(GroupKey const& key, std::vector<std::string> const& daemons)
{
    if (daemons.empty()) {
        m_groups.erase(key);
        return;
    }
    auto& group = m_groups[key];
    std::erase_if(group.recipients,
        [&](auto const& entry) { return std::find(daemons.begin(), daemons.end(), entry.first) == daemons.end(); });
    for (auto const& daemon : daemons)
        group.recipients.try_emplace(daemon);
}

void LoadReportScheduler::noteLoad(GroupKey const& key, GroupLoad load)
{
    auto const group = m_groups.find(key);
    if (group != m_groups.end())
        group->second.load = load;
}

void LoadReportScheduler::noteReceived(std::string const& daemon, LoadReport const& report, Core::Instant now)
{
    auto bytes = reportMessageBytes;
    for (auto const& entry : report.entries) {
        bytes += entry.size();
        if (!entry.load.isUnderPressure())
            continue;
        // Groups of a service are adjacent in the map, because the service is the first part of the key.
        for (auto group = m_groups.lower_bound({ entry.group.service, "", 0 });
             group != m_groups.end() && group->first.service == entry.group.service; ++group) {
            auto const recipient = group->second.recipients.find(daemon);
            if (recipient != group->second.recipients.end())
                recipient->second.pressureUntil = now + pressureValidity;
        }
    }
    m_budget.charge(bytes, Core::Duration::zero(), now);
}

void LoadReportScheduler::noteProcessorTime(Core::Duration time, Core::Instant now) { m_budget.charge(0, time, now); }

LoadReportScheduler::Urgency LoadReportScheduler::urgencyOf(
    Group const& group, Recipient const& recipient, Core::Instant now)
{
    bool const isUnderPressureNow = group.load.isUnderPressure();
    bool const wasUnderPressure = recipient.wasSent && recipient.lastSent.isUnderPressure();
    if (recipient.wasSent && now < recipient.sentAt + minReportInterval)
        return Urgency::None;
    if (!isUnderPressureNow && !wasUnderPressure && now >= recipient.pressureUntil)
        return Urgency::None;
    if (isUnderPressureNow != wasUnderPressure || !recipient.wasSent)
        return Urgency::PressureChange;
    if (group.load.freeSlots() != recipient.lastSent.freeSlots())
        return Urgency::Change;
    return now >= recipient.sentAt + repetitionInterval ? Urgency::Repetition : Urgency::None;
}

bool LoadReportScheduler::tryAppend(LoadReport& report, LoadReportEntry entry, Urgency urgency, Core::Instant now)
{
    auto reserve = 0.0;
    if (urgency == Urgency::Repetition)
        reserve = repetitionReserve;
    else if (urgency == Urgency::Change)
        reserve = changeReserve;
    // Entries after the first share the message.
    if (report.entries.empty()) {
        if (!m_budget.tryTake(reportMessageBytes + entry.size(), reserve, now))
            return false;
    } else if (!m_budget.tryTakeBytes(entry.size(), reserve, now)) {
        return false;
    }
    report.entries.push_back(std::move(entry));
    return true;
}

std::vector<LoadReport> LoadReportScheduler::due(Core::Instant now)
{
    // Without budget, even the search for due reports would use processor time beyond the limit.
    if (m_budget.isExhausted(reportMessageBytes + reportEntryBytes, now))
        return {};

    struct Candidate {
        Urgency urgency;
        Core::Instant sentAt;
        GroupKey const* key;
        Group* group;
        std::string const* daemon;
        Recipient* recipient;
    };
    std::vector<Candidate> candidates;
    for (auto& [key, group] : m_groups) {
        for (auto& [daemon, recipient] : group.recipients) {
            auto const urgency = urgencyOf(group, recipient, now);
            if (urgency != Urgency::None)
                candidates.push_back({ urgency, recipient.sentAt, &key, &group, &daemon, &recipient });
        }
    }
    // Most urgent first. Among equals, the reports that have waited longest come first, so that no group is starved.
    std::stable_sort(candidates.begin(), candidates.end(), [](Candidate const& left, Candidate const& right) {
        return left.urgency != right.urgency ? left.urgency > right.urgency : left.sentAt < right.sentAt;
    });

    std::map<std::string, LoadReport> reports;
    for (auto const& candidate : candidates) {
        auto& report = reports[*candidate.daemon];
        if (!tryAppend(report, { *candidate.key, candidate.group->load }, candidate.urgency, now))
            continue;
        candidate.recipient->lastSent = candidate.group->load;
        candidate.recipient->sentAt = now;
        candidate.recipient->wasSent = true;
    }

    std::vector<LoadReport> result;
    for (auto& [daemon, report] : reports) {
        if (report.entries.empty())
            continue;
        report.daemon = daemon;
        result.push_back(std::move(report));
    }
    return result;
}

}
