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

/// Decides when the home of some groups reports their loads to the homes of the same services elsewhere. Nothing is
/// sent for a service while none of its homes is under load pressure. One budget covers all groups of the daemon. When
/// it runs short, what is dropped first is repetition of an unchanged load, then changes of the number of free slots,
/// and last the news that a group came under pressure or is free again.
class LoadReportScheduler {
public:
    LoadReportScheduler(MeasurementLimits, Core::Instant now);

    /// The daemons that are home of the sibling groups. An empty list removes the group.
    void setSiblings(GroupKey const&, std::vector<std::string> const& daemons);

    /// The present load of a group of this daemon.
    void noteLoad(GroupKey const&, GroupLoad);

    /// A report about a sibling group arrived from this daemon. Its bytes are charged in full.
    void noteReceived(std::string const& daemon, LoadReport const&, Core::Instant now);

    /// Processor time that reports took: due(), encoding, sending, decoding.
    void noteProcessorTime(Core::Duration, Core::Instant now);

    /// The messages to send now. Call it every few milliseconds.
    std::vector<LoadReport> due(Core::Instant now);

private:
    /// How bad it is to leave a report out; the lowest are dropped first.
    enum class Urgency : uint8_t {
        None,
        Repetition,
        Change,
        PressureChange,
    };

    struct Recipient {
        GroupLoad lastSent;
        Core::Instant sentAt;
        Core::Instant pressureUntil; ///< The recipient's own group is assumed to be under pressure until then.
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
