#pragma once

#include <compare>
#include <string>

namespace Comfreysail::Routing {

/// Identifies a target group: the targets of one service in one availability zone, split into shards.
struct GroupKey {
    std::string service;
    std::string availabilityZone;
    unsigned shard { 0 };

    auto operator<=>(GroupKey const&) const = default;
};

}
