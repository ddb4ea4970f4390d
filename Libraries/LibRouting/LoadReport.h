#pragma once

#include <LibRouting/GroupKey.h>
#include <LibRouting/GroupLoad.h>
#include <cstddef>
#include <string>
#include <vector>

namespace Comfreysail::Routing {

/// Size of a report message without its entries, in bytes: 52 for TCP and IP headers, 52 for the acknowledgement, 2 for
/// the transport frame, and about 34 for the sender, incarnation and sequence number.
inline constexpr size_t reportMessageBytes = 140;

/// Size of the fixed part of an entry, in bytes. The names are added to it.
inline constexpr size_t reportEntryBytes = 16;

/// The load of one group.
struct LoadReportEntry {
    GroupKey group;
    GroupLoad load;

    size_t size() const { return reportEntryBytes + group.service.size() + group.availabilityZone.size(); }

    bool operator==(LoadReportEntry const&) const = default;
};

/// A message to the daemon that is the home of sibling groups: groups of the same service in other availability zones.
struct LoadReport {
    std::string daemon;
    std::vector<LoadReportEntry> entries;

    bool operator==(LoadReport const&) const = default;
};

}
