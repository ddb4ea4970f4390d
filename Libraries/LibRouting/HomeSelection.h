#pragma once

#include <LibRouting/GroupKey.h>
#include <LibRouting/HomeCandidate.h>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Comfreysail::Routing {

/// Maximum number of targets in one shard. It bounds the processor time of one pick.
inline constexpr unsigned maxTargetsPerShard = 32;

/// Returns the daemon that dispatches to the group, or nullopt if there are no candidates. Uses rendezvous hashing over
/// the candidates in the group's availability zone, or over all candidates if the zone has none. The result does not
/// depend on the order of the candidates.
std::optional<std::string> homeOf(GroupKey const&, std::vector<HomeCandidate> const&);

/// Returns the number of shards for this many targets of a service in one availability zone; at least 1.
unsigned shardCount(size_t targets);

/// Returns the shard of a request, in [0, shards).
unsigned shardOfRequest(std::string_view requestId, unsigned shards);

/// Assigns targets to shards in name order, so that shard sizes differ by at most one and never exceed
/// maxTargetsPerShard. Returns the shard of each name, in the order of the names. Names must be unique.
std::vector<unsigned> shardsOfTargets(std::vector<std::string> const& names);

}
