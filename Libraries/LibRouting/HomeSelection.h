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

/// Largest number of targets in one shard. It bounds the processor time of one pick.
inline constexpr unsigned maxTargetsPerShard = 32;

/// The daemon that dispatches to the group, by rendezvous hashing over the candidates in the group's availability
/// zone, or over all candidates when the zone has none. The order of the candidates does not matter.
/// Returns nullopt when there are no candidates.
std::optional<std::string> homeOf(GroupKey const&, std::vector<HomeCandidate> const&);

/// Number of shards that a service with this many targets in one availability zone is split into; at least 1.
unsigned shardCount(size_t targets);

/// The shard of a request, in [0, shards).
unsigned shardOfRequest(std::string_view requestId, unsigned shards);

/// Assigns targets to shards in name order, so that shards differ by at most one target and never exceed
/// maxTargetsPerShard. Returns the shard of each name in the order given. Names are unique.
std::vector<unsigned> shardsOfTargets(std::vector<std::string> const& names);

}
