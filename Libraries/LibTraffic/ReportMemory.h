#pragma once

#include <LibTraffic/TargetReport.h>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace Comfreysail::Traffic {

/// The newest reports of all targets that one way of reading them has shown.
class ReportMemory {
public:
    /// Decides whether the report counts, and remembers it if it does.
    ReportDecision note(std::string_view id, ReportPosition const&, Core::Instant now);

    /// The target has no entry now. Its report is remembered for `reportTimeout`.
    void noteRemoved(std::string_view id, Core::Instant now);
    /// All other targets have no entry now.
    void noteAllPresent(std::set<std::string_view> const& ids, Core::Instant now);
    /// Forgets the reports of targets that were removed long ago.
    void forgetRemoved(Core::Instant now);

    /// Returns the newest report of the target, or nullptr if none is remembered.
    KnownReport const* find(std::string_view id) const;

private:
    std::map<std::string, KnownReport, std::less<>> m_reports; ///< By id of the target.
};

}
