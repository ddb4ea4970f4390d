#include <LibTraffic/Traffic.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

using namespace Comfreysail;
using namespace Comfreysail::Traffic;
using namespace std::chrono_literals;

namespace {

constexpr Core::Instant now { 1h };

struct RelayFixture {
    SharedRows source;
    SharedRows follower;

    /// The follower takes over what changed at the source since the last time.
    bool pass(uint64_t& version)
    {
        auto const changes = source.changesAfter(version);
        version = changes.version;
        return follower.apply(changes);
    }
};

std::vector<std::string> membersNamed(size_t count)
{
    std::vector<std::string> members;
    for (size_t index = 0; index < count; ++index)
        members.push_back("vm-" + std::to_string(index));
    return members;
}

}

TEST_CASE_METHOD(RelayFixture, "SharedRows_ChangesAndRemovals_ReachTheFollower")
{
    uint64_t version = 0;
    source.replaceTable("t", { { "a", "1" }, { "b", "1" } }, 5);
    CHECK(pass(version));
    source.replaceTable("t", { { "a", "2" } }, 6);
    CHECK(source.changesAfter(version).rows.size() == 2);
    CHECK(pass(version));
    CHECK(follower.table("t") == SharedRows::Table { { "a", "2" } });
    CHECK(source.changesAfter(version).rows.empty());
}

// Turning to another source that lags must not bring back older settings or targets that left.
TEST_CASE_METHOD(RelayFixture, "SharedRows_SourceWithAnOlderReading_IsRefused")
{
    uint64_t version = 0;
    source.replaceTable("t", { { "a", "new" } }, 7);
    CHECK(pass(version));
    SharedRows lagging;
    lagging.replaceTable("t", { { "a", "old" }, { "gone", "1" } }, 6);
    CHECK_FALSE(follower.apply(lagging.changesAfter(0)));
    CHECK(follower.table("t") == SharedRows::Table { { "a", "new" } });
    CHECK_FALSE(follower.replaceTable("t", { { "a", "old" } }, 6));
}

// A complete answer replaces all; rows that it does not name are gone.
TEST_CASE_METHOD(RelayFixture, "SharedRows_CompleteAnswer_RemovesWhatItDoesNotName")
{
    follower.replaceTable("t", { { "a", "1" }, { "left", "1" } }, 3);
    source.replaceTable("t", { { "a", "1" } }, 4);
    CHECK(follower.apply(source.changesAfter(0)));
    CHECK(follower.table("t") == SharedRows::Table { { "a", "1" } });
}

// Removed rows are forgotten at last; a follower that lags behind that must get everything.
TEST_CASE_METHOD(RelayFixture, "SharedRows_ManyRemovals_LaggingFollowerGetsAllRows")
{
    uint64_t version = 0;
    source.replaceTable("t", { { "a", "1" } }, 1);
    CHECK(pass(version));
    for (uint64_t round = 2; round < 1500; ++round)
        source.replaceTable("t", { { "a", "1" }, { "x" + std::to_string(round), "1" } }, round);
    CHECK(source.changesAfter(version).isComplete);
    CHECK(pass(version));
    CHECK(follower.table("t") == source.table("t"));
}

// Every daemon must have a way to the store, a short one, and nobody more followers than the fan-out.
TEST_CASE("RelaySources_AnyNumberOfMembers_LeadToAReaderWithinFewSteps")
{
    auto const count = GENERATE(1, 2, 3, 14, 111, 1000);
    RelayOptions const options;
    auto const members = membersNamed(static_cast<size_t>(count));
    std::map<std::string, size_t> followers;
    size_t readers = 0;
    size_t longest = 0;
    for (auto const& member : members) {
        readers += isStoreReader(member, members, options) ? 1 : 0;
        auto const sources = relaySources(member, members, options);
        CHECK(std::ranges::find(sources, member) == sources.end());
        if (isStoreReader(member, members, options))
            continue;
        REQUIRE_FALSE(sources.empty());
        ++followers[sources.front()];
        size_t steps = 0;
        for (auto place = member; !isStoreReader(place, members, options) && steps < 20; ++steps)
            place = relaySources(place, members, options).front();
        longest = std::max(longest, steps);
    }
    CAPTURE(count, longest);
    CHECK(readers == std::min<size_t>(options.readers, members.size()));
    CHECK(longest <= 4);
    for (auto const& [name, number] : followers)
        CHECK(number <= options.fanOut);
}

TEST_CASE("RelaySources_NotAMemberYet_AreNone")
{
    CHECK(relaySources("new", membersNamed(5), {}).empty());
    CHECK_FALSE(isStoreReader("new", membersNamed(5), {}));
}

TEST_CASE("RelayAvoidance_FailuresInARow_LeaveOutForLongerUpToALimit")
{
    RelayAvoidance avoidance;
    CHECK_FALSE(avoidance.isAvoided("a", now));
    CHECK_FALSE(avoidance.hasFailed("a"));
    avoidance.noteFailed("a", {}, now);
    // Also after the time: the next question is a short one.
    CHECK(avoidance.hasFailed("a"));
    CHECK(avoidance.isAvoided("a", now + 999ms));
    CHECK_FALSE(avoidance.isAvoided("a", now + 1s));
    for (int count = 0; count < 20; ++count)
        avoidance.noteFailed("a", {}, now);
    CHECK(avoidance.isAvoided("a", now + 29s));
    CHECK_FALSE(avoidance.isAvoided("a", now + 30s));
    avoidance.noteAnswered("a");
    CHECK_FALSE(avoidance.isAvoided("a", now));
    CHECK_FALSE(avoidance.hasFailed("a"));
}
