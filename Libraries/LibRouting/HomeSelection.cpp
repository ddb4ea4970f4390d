#include <LibCore/Hash.h>
#include <LibRouting/HomeSelection.h>
#include <algorithm>
#include <numeric>

namespace Comfreysail::Routing {

namespace {

uint64_t hashOf(GroupKey const& key)
{
    auto const hash = Core::combineHashes(Core::hashBytes(key.service), Core::hashBytes(key.availabilityZone));
    return Core::combineHashes(hash, key.shard);
}

}

std::optional<std::string> homeOf(GroupKey const& key, std::vector<HomeCandidate> const& candidates)
{
    bool const zoneHasCandidate = std::any_of(candidates.begin(), candidates.end(),
        [&](auto const& candidate) { return candidate.availabilityZone == key.availabilityZone; });

    auto const groupHash = hashOf(key);
    HomeCandidate const* best = nullptr;
    uint64_t bestScore = 0;
    for (auto const& candidate : candidates) {
        if (zoneHasCandidate && candidate.availabilityZone != key.availabilityZone)
            continue;
        auto const score = Core::combineHashes(groupHash, Core::hashBytes(candidate.daemon));
        if (!best || score > bestScore || (score == bestScore && candidate.daemon < best->daemon)) {
            best = &candidate;
            bestScore = score;
        }
    }
    if (!best)
        return std::nullopt;
    return best->daemon;
}

unsigned shardCount(size_t targets)
{
    return std::max(1U, static_cast<unsigned>((targets + maxTargetsPerShard - 1) / maxTargetsPerShard));
}

unsigned shardOfRequest(std::string_view requestId, unsigned shards)
{
    return shards <= 1 ? 0 : static_cast<unsigned>(Core::hashBytes(requestId) % shards);
}

std::vector<unsigned> shardsOfTargets(std::vector<std::string> const& names)
{
    std::vector<size_t> order(names.size());
    std::iota(order.begin(), order.end(), size_t { 0 });
    std::sort(order.begin(), order.end(), [&](size_t left, size_t right) { return names[left] < names[right]; });

    auto const shards = shardCount(names.size());
    std::vector<unsigned> result(names.size(), 0);
    for (size_t position = 0; position < order.size(); ++position)
        result[order[position]] = static_cast<unsigned>(position % shards);
    return result;
}

}
