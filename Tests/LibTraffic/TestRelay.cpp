#include <LibTraffic/Traffic.h>
#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <random>
#include <set>

using namespace Comfreysail;
using namespace Comfreysail::Traffic;
using namespace std::chrono_literals;

namespace {

constexpr Core::Instant now { 1h };

struct RelayFixture {
    SharedRows source;
    SharedRows follower;

    /// Sends the changes that the follower does not have yet from the source to it. Returns true if they were applied.
    bool synchronize()
    {
        return follower.apply(source.changesAfter(follower.knownRevisions())) == ApplyResult::Applied;
    }
};

std::vector<RelayMember> membersNamed(size_t count)
{
    std::vector<RelayMember> members;
    for (size_t index = 0; index < count; ++index)
        members.push_back({ "vm-" + std::to_string(index), "10.0.0.1:80" });
    return members;
}

/// The first 8 members have more processor time than the others, as in large deployments.
std::vector<RelayMember> membersOfUnequalSize(size_t count)
{
    auto members = membersNamed(count);
    for (size_t index = 0; index < count; ++index)
        members[index].processorShare = index < 8 ? 0.5 : 0.1;
    return members;
}

}

TEST_CASE_METHOD(RelayFixture, "SharedRows_ChangesAndRemovals_ReachTheFollower")
{
    source.replaceTable("t", { { "a", "1" }, { "b", "1" } }, 5);
    CHECK(synchronize());
    source.replaceTable("t", { { "a", "2" } }, 6);
    CHECK(source.changesAfter(follower.knownRevisions()).rows.size() == 2);
    CHECK(synchronize());
    CHECK(follower.table("t") == SharedRows::Table { { "a", "2" } });
    CHECK(source.changesAfter(follower.knownRevisions()).rows.empty());
}

// Guards against daemons that send each other all targets, because one read the store a heartbeat later than the other,
// and against a difference in content that is not noticed.
TEST_CASE("SharedRows_RowsDifferInTheNumberOfTheReportOnly_HaveTheSameDigest")
{
    SharedRows::TableNames const tablesOfReports { "targets" };
    SharedRows source(tablesOfReports);
    SharedRows follower(tablesOfReports);
    SharedRows ofOlderBuild;
    source.replaceTable("targets", { { "a", "9\nready" } }, 5);
    follower.replaceTable("targets", { { "a", "8\nready" } }, 5);
    ofOlderBuild.replaceTable("targets", { { "a", "0\nready" } }, 5);
    auto const changes = source.changesAfter(follower.knownRevisions());
    CHECK(changes.rows.empty());
    CHECK(follower.apply(changes) == ApplyResult::Applied);
    CHECK(ofOlderBuild.apply(changes) == ApplyResult::Applied);
    follower.replaceTable("targets", { { "a", "8\ndraining" } }, 5);
    CHECK(follower.apply(changes) == ApplyResult::Incomplete);
    // The first lines of other tables are revisions, which belong to the content.
    source.replaceTable("plans", { { "a", "9\ntext" } }, 5);
    follower.replaceTable("plans", { { "a", "8\ntext" } }, 5);
    follower.replaceTable("targets", { { "a", "8\nready" } }, 5);
    CHECK(follower.apply(source.changesAfter(follower.knownRevisions())) == ApplyResult::Incomplete);
}

// With a third of the daemons unreachable, many of the others ask the readers. If a reader sent all rows to each of
// them, its link and processor would be busy for longer than a change may take.
TEST_CASE_METHOD(RelayFixture, "SharedRows_FollowerOfAnotherSource_GetsOnlyChangesSinceItsRead")
{
    SharedRows other;
    SharedRows::Table rows { { "a", "1" }, { "b", "1" }, { "c", "1" } };
    other.replaceTable("t", rows, 4);
    source.replaceTable("t", rows, 5);
    CHECK(synchronize());
    rows["b"] = "2";
    other.replaceTable("t", rows, 6);
    auto const changes = other.changesAfter(follower.knownRevisions());
    CHECK(changes.rows == std::vector<SharedRow> { { "t", "b", "2" } });
    CHECK(follower.apply(changes) == ApplyResult::Applied);
    CHECK(follower.table("t") == rows);
}

// A row that existed or had another value only between two reads of the new source is missing from that source's
// changes. The follower must notice, or it would keep using a target that no longer exists.
TEST_CASE_METHOD(RelayFixture, "SharedRows_RandomReadsAndSources_FollowerHasTheRowsOfItsRevision")
{
    constexpr unsigned seed = 4711;
    std::mt19937 generator(seed);
    auto const below = [&](uint64_t bound) { return std::uniform_int_distribution<uint64_t>(0, bound - 1)(generator); };
    std::map<uint64_t, SharedRows::Table> history { { 1, {} } };
    std::array<SharedRows, 4> daemons;
    unsigned incomplete = 0;
    for (int round = 0; round < 5000; ++round) {
        auto const revision = history.rbegin()->first + 1;
        auto rows = history.rbegin()->second;
        auto const key = "k" + std::to_string(below(12));
        if (below(3) == 0)
            rows.erase(key);
        else
            rows[key] = std::to_string(revision);
        history[revision] = rows;
        auto& daemon = daemons[below(daemons.size())];
        auto const& from = daemons[below(daemons.size())];
        if (below(2) == 0)
            daemon.replaceTable("t", rows, revision);
        else
            incomplete += daemon.apply(from.changesAfter(daemon.knownRevisions())) == ApplyResult::Incomplete ? 1 : 0;
        CAPTURE(seed, round);
        if (daemon.knownRevisions().contains("t"))
            REQUIRE(daemon.table("t") == history[daemon.revisionOf("t")]);
        else
            REQUIRE((&from == &daemon
                || daemon.apply(from.changesAfter(daemon.knownRevisions())) != ApplyResult::Incomplete));
    }
    CHECK(incomplete > 0);
}

// A daemon applies only the rows that changed since the last time. A missed change or removal would leave a target in
// use that has gone.
TEST_CASE_METHOD(RelayFixture, "SharedRows_ChangesSinceAVersion_LeadToTheSameRows")
{
    constexpr unsigned seed = 815;
    std::mt19937 generator(seed);
    auto const below = [&](uint64_t bound) { return std::uniform_int_distribution<uint64_t>(0, bound - 1)(generator); };
    SharedRows::Table rows;
    SharedRows::Table copy;
    uint64_t version = 0;
    unsigned unknown = 0;
    for (uint64_t revision = 1; revision < 300; ++revision) {
        for (unsigned change = 0; change < 20; ++change) {
            auto const key = "k" + std::to_string(below(2000));
            if (below(3) == 0)
                rows.erase(key);
            else
                rows[key] = std::to_string(revision);
        }
        // Many removals at once are not kept.
        if (below(20) == 0)
            std::erase_if(rows, [&](auto const&) { return below(4) > 0; });
        source.replaceTable("t", rows, revision);
        source.replaceTable("other", { { "x", std::to_string(revision) } }, revision);
        if (below(3) > 0)
            continue;
        auto const changes = source.changesSince("t", version);
        version = source.version();
        CAPTURE(seed, revision);
        if (!changes) {
            ++unknown;
            copy = source.table("t");
            continue;
        }
        for (auto const& row : *changes) {
            REQUIRE(row.table == "t");
            if (row.text)
                copy[row.key] = *row.text;
            else
                copy.erase(row.key);
        }
        REQUIRE(copy == rows);
        REQUIRE(source.versionOf("t") <= version);
        CHECK(source.changesSince("t", version)->empty());
    }
    CHECK(unknown > 0);
    CHECK(unknown < 50);
}

// With some thousand targets the store is read in several pages, each at its own revision, so two readers may have
// different rows at the same revision. Asking for all rows each time caused traffic of megabytes per second with 300
// VMs.
TEST_CASE_METHOD(RelayFixture, "SharedRows_ReadInSeveralPages_IsNotComparedWithAnotherSource")
{
    SharedRows other;
    // "x" existed only between the first and the last page of the source's read.
    source.replaceTable("t", { { "a", "1" }, { "x", "1" } }, 5, false);
    CHECK(synchronize());
    other.replaceTable("t", { { "a", "1" } }, 4, false);
    other.replaceTable("t", { { "a", "1" } }, 6, false);
    CHECK(follower.apply(other.changesAfter(follower.knownRevisions())) == ApplyResult::Applied);
    // Rows that the follower passes on are not compared either.
    SharedRows behind;
    behind.replaceTable("t", { { "a", "1" } }, 4, false);
    CHECK(behind.apply(follower.changesAfter(behind.knownRevisions())) == ApplyResult::Applied);
    CHECK(follower.changesAfter({}).digests.empty());
}

// Switching to a source that lags must not bring back older settings or targets that left.
TEST_CASE_METHOD(RelayFixture, "SharedRows_SourceWithOlderRows_IsRejected")
{
    source.replaceTable("t", { { "a", "new" } }, 7);
    CHECK(synchronize());
    SharedRows lagging;
    lagging.replaceTable("t", { { "a", "old" }, { "gone", "1" } }, 6);
    CHECK(follower.apply(lagging.changesAfter({})) == ApplyResult::Stale);
    CHECK(follower.table("t") == SharedRows::Table { { "a", "new" } });
    CHECK_FALSE(follower.replaceTable("t", { { "a", "old" } }, 6));
}

// A daemon that has read the store itself knows one table in a newer read than its source. Guards against refusing the
// source's newer rows of other tables, such as changed settings, until the source has read that table again.
TEST_CASE_METHOD(RelayFixture, "SharedRows_SourceHasOneOlderTable_OthersAreApplied")
{
    source.replaceTable("settings", { { "a", "old" } }, 3);
    source.replaceTable("members", { { "m", "old" } }, 4);
    CHECK(synchronize());
    follower.replaceTable("members", { { "m", "new" } }, 7);
    source.replaceTable("settings", { { "a", "new" }, { "b", "new" } }, 9);
    auto const changes = source.changesAfter(follower.knownRevisions());
    CHECK(follower.isOlder(changes, "members"));
    CHECK_FALSE(follower.isOlder(changes, "settings"));
    CHECK(follower.apply(changes) == ApplyResult::Applied);
    CHECK(follower.table("settings") == source.table("settings"));
    CHECK(follower.table("members") == SharedRows::Table { { "m", "new" } });
    CHECK(follower.revisionOf("members") == 7);
}

// A complete table replaces all rows; rows that it does not contain are removed.
TEST_CASE_METHOD(RelayFixture, "SharedRows_CompleteTable_RemovesRowsThatItDoesNotContain")
{
    follower.replaceTable("t", { { "a", "1" }, { "left", "1" } }, 3);
    follower.replaceTable("u", { { "kept", "1" } }, 3);
    source.replaceTable("t", { { "a", "1" } }, 4);
    source.replaceTable("u", { { "kept", "1" } }, 4);
    auto changes = source.changesAfter({ { "u", 3 } });
    CHECK(changes.completeTables.contains("t"));
    CHECK(follower.apply(changes) == ApplyResult::Applied);
    CHECK(follower.table("t") == SharedRows::Table { { "a", "1" } });
    CHECK(follower.table("u") == SharedRows::Table { { "kept", "1" } });
}

// Old removals are dropped at some point. A follower that lags behind them must get all rows.
TEST_CASE_METHOD(RelayFixture, "SharedRows_ManyRemovals_LaggingFollowerGetsAllRows")
{
    source.replaceTable("t", { { "a", "1" } }, 1);
    CHECK(synchronize());
    for (uint64_t round = 2; round < 1500; ++round)
        source.replaceTable("t", { { "a", "1" }, { "x" + std::to_string(round), "1" } }, round);
    CHECK(source.changesAfter(follower.knownRevisions()).completeTables.contains("t"));
    CHECK(synchronize());
    CHECK(follower.table("t") == source.table("t"));
}

// A table that changes rarely is read less often than one whose removals are dropped. If its rows were sent with each
// response then, no request would wait for a change, and all daemons would poll their sources without a pause.
TEST_CASE_METHOD(RelayFixture, "SharedRows_RemovalsOfAnotherTableDropped_NothingIsSentAgain")
{
    source.replaceTable("quiet", { { "a", "1" } }, 1);
    for (uint64_t round = 2; round < 1500; ++round)
        source.replaceTable("busy", { { "x" + std::to_string(round), "1" } }, round);
    CHECK(synchronize());
    auto const changes = source.changesAfter(follower.knownRevisions());
    CHECK(changes.rows.empty());
    CHECK(changes.completeTables.empty());
}

// Every daemon must reach a reader in few steps, and no daemon may have more followers than the fan-out.
TEST_CASE("RelaySources_AnyNumberOfMembers_LeadToAReaderWithinFewSteps")
{
    auto const count = GENERATE(1, 2, 3, 14, 111, 1000);
    RelayOptions const options;
    auto const members = membersNamed(static_cast<size_t>(count));
    std::map<std::string, size_t> followers;
    size_t readers = 0;
    size_t longest = 0;
    for (auto const& member : members) {
        readers += relayRole(member.name, members, options) == RelayRole::Reader ? 1 : 0;
        auto const sources = relaySources(member.name, members, options);
        CHECK(std::ranges::find(sources, member) == sources.end());
        if (relayRole(member.name, members, options) == RelayRole::Reader)
            continue;
        REQUIRE_FALSE(sources.empty());
        ++followers[sources.front().name];
        size_t steps = 0;
        for (auto place = member.name; relayRole(place, members, options) != RelayRole::Reader && steps < 20; ++steps)
            place = relaySources(place, members, options).front().name;
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
    CHECK(relayRole("new", membersNamed(5), {}) == RelayRole::Follower);
}

// When the readers cannot reach the store, the other daemons must not all read it at the same time: only the two
// standby readers do, and all daemons, including the readers, ask these.
TEST_CASE("RelaySources_AnyMember_IncludeAStandbyReader")
{
    RelayOptions const options;
    auto const members = membersNamed(20);
    std::set<std::string> standbyReaders;
    for (auto const& member : members) {
        if (relayRole(member.name, members, options) == RelayRole::StandbyReader)
            standbyReaders.insert(member.name);
    }
    CHECK(standbyReaders.size() == options.standbyReaders);
    for (auto const& member : members) {
        auto const sources = relaySources(member.name, members, options);
        auto const asksStandbyReader
            = std::ranges::any_of(sources, [&](auto const& source) { return standbyReaders.contains(source.name); });
        CAPTURE(member.name);
        CHECK(asksStandbyReader);
        CHECK(std::ranges::find(sources, member) == sources.end());
    }
}

// A reader with a tenth of a core answered its followers more than a second late, and changes reached all daemons too
// late.
TEST_CASE("RelaySources_UnequalMembers_MembersWithMostProcessorTimeReadTheStore")
{
    auto const members = membersOfUnequalSize(108);
    for (auto const& member : members) {
        CAPTURE(member.name);
        bool const isLarge = member.processorShare > 0.1;
        CHECK((isLarge || relayRole(member.name, members, {}) == RelayRole::Follower));
    }
}

// With a third of the daemons unreachable, the others must not all ask the readers. The bound is what the limit for
// control traffic of a daemon (docs/design.md, 1.5) leaves for polls without changes.
TEST_CASE("RelaySources_ThirdOfTheMembersUnreachable_FollowersOfEachSourceAreBounded")
{
    constexpr double maxControlBytesPerSecond = 29'000;
    constexpr double bytesOfAPoll = 600;        // A request and its response without rows.
    constexpr double pollsPerSecond = 1 / 0.45; // A source holds a request back for 0.45 s.
    constexpr auto maxFollowers = static_cast<size_t>(maxControlBytesPerSecond / (bytesOfAPoll * pollsPerSecond));
    constexpr unsigned seed = 99;
    std::mt19937 generator(seed);
    RelayOptions const options;
    auto const members = membersOfUnequalSize(108);
    for (int round = 0; round < 100; ++round) {
        std::set<std::string> cut;
        while (cut.size() < members.size() / 3)
            cut.insert(members[generator() % members.size()].name);
        std::map<std::string, size_t> followers;
        for (auto const& member : members) {
            if (cut.contains(member.name))
                continue;
            for (auto const& source : relaySources(member.name, members, options)) {
                if (cut.contains(source.name))
                    continue;
                ++followers[source.name];
                break;
            }
        }
        CAPTURE(seed, round);
        for (auto const& [name, number] : followers)
            CHECK(number <= maxFollowers);
    }
}

TEST_CASE("MemberText_AnyMember_IsParsedAsItWasWritten")
{
    RelayMember const member { "vm", "10.1.0.10:8166", 0.2 };
    CHECK(parseMember("vm", memberText(member)) == member);
    CHECK(parseMember("vm", "").endpoint.empty());
}

TEST_CASE("RelayBackoff_ConsecutiveFailures_DoubleTheTimeUpToALimit")
{
    RelayBackoff backoff;
    CHECK_FALSE(backoff.isBackingOff("a", now));
    CHECK_FALSE(backoff.hasFailed("a"));
    backoff.noteFailed("a", {}, now);
    // Remains true after the time has passed, so that the next request gets only a short time.
    CHECK(backoff.hasFailed("a"));
    CHECK(backoff.isBackingOff("a", now + 999ms));
    CHECK_FALSE(backoff.isBackingOff("a", now + 1s));
    for (int count = 0; count < 20; ++count)
        backoff.noteFailed("a", {}, now);
    CHECK(backoff.isBackingOff("a", now + 29s));
    CHECK_FALSE(backoff.isBackingOff("a", now + 30s));
    backoff.noteAnswered("a");
    CHECK_FALSE(backoff.isBackingOff("a", now));
    CHECK_FALSE(backoff.hasFailed("a"));
}
