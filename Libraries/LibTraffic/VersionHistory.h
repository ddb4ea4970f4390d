#pragma once

#include <LibTraffic/VersionMove.h>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Comfreysail::Traffic {

/// What earlier moves of a service say about its versions, at the time of an order.
struct VersionHistory {
    std::string current;               ///< Version that the last completed move led to; empty if unknown.
    std::vector<std::string> rejected; ///< Versions whose last move was not completed, oldest first.

    bool operator==(VersionHistory const&) const = default;
};

/// Returns the history after a move to `toVersion` that ended with this state. A move that a later order replaces while
/// it is running has proved nothing about its version, which counts as rejected.
VersionHistory historyAfter(VersionHistory, std::string const& toVersion, MoveState);

/// Combines what this daemon knows with the history that the daemons share for the same order. The shared one decides
/// where they differ.
VersionHistory mergedHistory(VersionHistory own, VersionHistory const& shared);

/// Returns the version that serves the requests that a move does not give to `toVersion`, or an empty string if none of
/// the ready targets has such a version. `readyTargets` is the number of ready targets of each version.
std::string sourceVersion(VersionHistory const&, std::map<std::string, unsigned, std::less<>> const& readyTargets,
    std::string_view toVersion);

}
