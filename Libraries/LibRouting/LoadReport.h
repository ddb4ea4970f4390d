#pragma once

#include <LibRouting/GroupKey.h>
#include <LibRouting/GroupLoad.h>
#include <cstddef>
#include <string>
#include <vector>

namespace Comfreysail::Routing {

/// Bytes of a report message without its entries: 52 of TCP and IP headers, 52 of the acknowledgement, 2 of the
/// transport frame and about 34 of sender, incarnation and sequence number.
inline constexpr size_t reportMessageBytes = 140;

/// Bytes of the fixed part of one entry; the names come on top.
inline constexpr size_t reportEntryBytes = 16;

/// The load of one group.
struct LoadReportEntry {
    GroupKey group;
    GroupLoad load;

    size_t size() const { return reportEntryBytes + group.service.size() + group.availabilityZone.size(); }

    bool operator==(LoadReportEntry const&) const = default;
};

/// A message to the daemon that is home of sibling groups.
struct LoadReport {
    std::string daemon;
    std::vector<LoadReportEntry> entries;

    bool operator==(LoadReport const&) const = default;
};

}
