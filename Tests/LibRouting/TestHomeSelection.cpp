#include <LibRouting/Routing.h>
#include <algorithm>
#include <catch2/catch.hpp>

using namespace Comfreysail::Routing;

namespace {

std::vector<HomeCandidate> const candidates { { "a", "z1" }, { "b", "z1" }, { "c", "z1" }, { "d", "z2" } };

}

// Daemons list the members in different orders but must agree on the home.
TEST_CASE("HomeOf_OtherOrderOfCandidates_GivesSameHome")
{
    auto reversed = candidates;
    std::reverse(reversed.begin(), reversed.end());
    for (unsigned shard = 0; shard < 50; ++shard)
        CHECK(homeOf({ "s", "z1", shard }, candidates) == homeOf({ "s", "z1", shard }, reversed));
}

// With a home in another zone, every request takes a hop across zones.
TEST_CASE("HomeOf_ZoneHasDaemon_StaysInZone")
{
    for (unsigned shard = 0; shard < 50; ++shard)
        CHECK(homeOf({ "s", "z2", shard }, candidates) == "d");
    CHECK(homeOf({ "s", "z3", 0 }, candidates).has_value());
    CHECK_FALSE(homeOf({ "s", "z1", 0 }, {}).has_value());
}

// If groups of the remaining daemons moved too, their queues would restart for no reason.
TEST_CASE("HomeOf_DaemonLeaves_OnlyItsGroupsMove")
{
    auto const rest = std::vector<HomeCandidate> { candidates[0], candidates[2], candidates[3] };
    size_t ofLeaver = 0;
    for (unsigned shard = 0; shard < 300; ++shard) {
        auto const before = homeOf({ "s", "z1", shard }, candidates);
        auto const after = homeOf({ "s", "z1", shard }, rest);
        ofLeaver += before == "b" ? 1 : 0;
        if (before != "b")
            CHECK(before == after);
    }
    CHECK(ofLeaver > 60);
    CHECK(ofLeaver < 140);
}

// A pick in a larger shard takes longer than the limit on added latency allows.
TEST_CASE("Shards_AnyNumberOfTargets_HoldAtMostTheLimit")
{
    auto const count = GENERATE(size_t { 0 }, size_t { 1 }, size_t { 32 }, size_t { 33 }, size_t { 2000 });
    std::vector<std::string> names;
    for (size_t target = 0; target < count; ++target)
        names.push_back("t" + std::to_string(target));
    auto const shards = shardsOfTargets(names);
    std::vector<size_t> sizes(shardCount(count), 0);
    for (auto const shard : shards)
        ++sizes.at(shard);
    CHECK(*std::max_element(sizes.begin(), sizes.end()) <= maxTargetsPerShard);
    CHECK(shardOfRequest("4f3a", shardCount(count)) < shardCount(count));
}
