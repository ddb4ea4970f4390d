#pragma once

#include <LibCore/Time.h>
#include <LibRouting/GroupKey.h>
#include <LibRouting/GroupLoad.h>
#include <LibRouting/LoadReport.h>
#include <LibRouting/MeasurementBudget.h>
#include <map>
#include <string>
#include <vector>

namespace Comfreysail::Routing {

/// Decides when the home of some groups reports their load to the homes of their sibling groups (the same service in
/// other availability zones). Nothing is sent for a service while none of its homes is under pressure. All groups of
/// the daemon share one budget. When it runs short, repetitions of an unchanged load are dropped first, then changes in
/// the number of free slots, and last the reports that a group came under pressure or is no longer under pressure.
class LoadReportScheduler {
public:
    LoadReportScheduler(MeasurementLimits, Core::Instant now);

    /// Sets the daemons that are the homes of the sibling groups. An empty list removes the group.
    void setSiblings(GroupKey const&, std::vector<std::string> const& daemons);

    /// Sets the current load of a group of this daemon.
    void noteLoad(GroupKey const&, GroupLoad);

    /// Handles a report from the home of sibling groups. Its bytes are charged to the budget in full.
    void noteReceived(std::string const& daemon, LoadReport const&, Core::Instant now);

    /// Charges the processor time that reports took: due(), encoding, sending and decoding.
    void noteProcessorTime(Core::Duration, Core::Instant now);

    /// Returns the messages to send now. Call it every few milliseconds.
    std::vector<LoadReport> due(Core::Instant now);

private:
    /// Urgency of a report. The least urgent reports are dropped first.
    enum class Urgency : uint8_t {
        None,
        Repetition,
        Change,
        PressureChange,
    };

    struct Recipient {
        GroupLoad lastSent;
        Core::Instant sentAt;
        Core::Instant pressureUntil; ///< Until then the recipient's own group is assumed to be under pressure.
        bool wasSent { false };
    };

    struct Group {
        GroupLoad load;
        std::map<std::string, Recipient> recipients; ///< By daemon.
    };

    static Urgency urgencyOf(Group const&, Recipient const&, Core::Instant now);
    bool tryAppend(LoadReport&, LoadReportEntry, Urgency, Core::Instant now);

    MeasurementBudget m_budget;
    std::map<GroupKey, Group> m_groups;
};

}
