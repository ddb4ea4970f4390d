#pragma once

#include <LibUsage/Window.h>
#include <map>
#include <string>

namespace Comfreysail::Usage {

/// Sends of one daemon for one department in one window. Both numbers only grow, so that counts that arrive late or
/// twice are merged by taking the larger numbers.
struct SendCount {
    uint64_t sent { 0 };
    uint64_t notRun { 0 }; ///< Sends that the target did not execute, as it says.

    bool operator==(SendCount const&) const = default;
};

/// By department.
using WindowCounts = std::map<std::string, SendCount, std::less<>>;

/// Counts of one daemon, by window.
using CountsByWindow = std::map<WindowId, WindowCounts>;

/// Requests that targets began to execute, by department, as they are reported.
using ReportedCounts = std::map<std::string, uint64_t, std::less<>>;

/// Takes the larger number of each count.
void mergeCounts(CountsByWindow& into, CountsByWindow const& counts);

/// Returns the counts that differ from those in `known`.
CountsByWindow countsBeyond(CountsByWindow const& counts, CountsByWindow const& known);

/// Adds the counts of a daemon to the sum.
void addCounts(ReportedCounts& sum, WindowCounts const&);

}
