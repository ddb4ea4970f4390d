#pragma once

#include <string>
#include <tuple>

namespace Comfreysail::Routing {

/// Identifies a target group. The targets of one service in one availability zone are split into one or more groups,
/// the shards.
struct GroupKey {
    std::string service;
    std::string availabilityZone;
    unsigned shard { 0 };

    bool operator==(GroupKey const&) const = default;

    bool operator<(GroupKey const& other) const
    {
        return std::tie(service, availabilityZone, shard)
            < std::tie(other.service, other.availabilityZone, other.shard);
    }
};

}
