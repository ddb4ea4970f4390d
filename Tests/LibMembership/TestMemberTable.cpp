#include <LibMembership/Membership.h>
#include <Shared/MemberCluster.h>
#include <catch2/catch.hpp>

using namespace Comfreysail;
using namespace Comfreysail::Membership;
using Comfreysail::Benchmarks::MemberCluster;
using namespace std::chrono_literals;

namespace {

MemberCluster settledCluster(size_t size = 14)
{
    MemberCluster cluster({ .size = size });
    cluster.run(5s);
    return cluster;
}

void stop(MemberCluster& cluster, size_t first, size_t end)
{
    for (auto index = first; index < end; ++index)
        cluster.node(index).isDown = true;
}

}

// If a daemon does not know a member, it computes a different home for the same group. Two homes for one group can
// overload a cold target. Message loss, reordering and duplication must not make the views differ.
TEST_CASE("MemberTable_MessageFaults_ViewsStillAgree")
{
    struct Fault {
        std::string name;
        std::function<std::vector<Core::Duration>(std::mt19937_64&)> route;
    };
    std::vector<Fault> const faults {
        { "none", [](auto&) { return std::vector<Core::Duration> { 1ms }; } },
        { "one in five lost",
            [](auto& random) {
                return random() % 5 == 0 ? std::vector<Core::Duration> {} : std::vector<Core::Duration> { 1ms };
            } },
        { "reordered within half a second",
            [](auto& random) { return std::vector<Core::Duration> { Core::Duration(random() % 500'000) }; } },
        { "duplicated, one copy a second late",
            [](auto&) {
                return std::vector<Core::Duration> { 1ms, 1s };
            } },
    };
    for (auto const& fault : faults) {
        CAPTURE(fault.name);
        MemberCluster cluster({ .size = 14 });
        cluster.route = [&](size_t, size_t) { return fault.route(cluster.random()); };
        cluster.run(8s);
        for (int second = 0; second < 10; ++second) {
            cluster.run(1s);
            CHECK(cluster.agreeing() == cluster.size());
        }
    }
}

// A crashed home that still counts as live delays requests. A running home that is suspected splits the in-flight
// counts of its groups over two daemons.
TEST_CASE("MemberTable_MemberCrashes_AllSuspectOnlyItWithinSeconds")
{
    auto cluster = settledCluster();
    stop(cluster, 3, 4);
    cluster.run(3500ms);
    CHECK(cluster.agreeing() == 13);
}

// Delayed copies of old heartbeats must not count as new ones of a dead member.
TEST_CASE("MemberTable_OldHeartbeatsRepeated_DoNotKeepADeadMemberAlive")
{
    auto now = Core::Instant(1h);
    MemberTable table({ "vm-0", 1, "arima", "10.0.0.1", 80, 90 }, {}, now);
    Heartbeat heartbeat;
    heartbeat.sender = { { "vm-1", 5, "arima", "10.0.0.2", 80, 90 }, 1000 };
    (void)table.merge(heartbeat, now);
    for (int copy = 0; copy < 8; ++copy) {
        now += 500ms;
        heartbeat.sender.beat = copy % 2 == 0 ? 999 : 1000;
        (void)table.tick(now);
        (void)table.merge(heartbeat, now);
    }
    CHECK(table.live(now).size() == 1);
}

// If two daemons cannot reach each other but the others reach both, neither may be suspected.
TEST_CASE("MemberTable_SilentConnectionBetweenTwoPeers_SuspectsNobody")
{
    auto cluster = settledCluster();
    cluster.route = [](size_t from, size_t to) {
        auto const isSilent = (from == 2 && to == 3) || (from == 3 && to == 2);
        return isSilent ? std::vector<Core::Duration> {} : std::vector<Core::Duration> { 1ms };
    };
    cluster.run(10s);
    CHECK(cluster.agreeing() == cluster.size());
}

// The other daemons must recognize a restarted daemon as a new instance at once, because its in-flight counts are lost.
TEST_CASE("MemberTable_RestartAtTheSameAddress_IsANewInstance")
{
    auto cluster = settledCluster();
    auto const previous = cluster.node(5).member.incarnation;
    cluster.restart(5);
    cluster.run(2s);
    CHECK(cluster.node(5).member.incarnation > previous);
    for (size_t index = 0; index < cluster.size(); ++index)
        CHECK(cluster.sees(index, 5));
    CHECK(cluster.table(0).knownCount() == 14);
}

// A daemon with a new name at the same address replaces the previous member. If that one were still counted, it would
// count as unreachable in the majority.
TEST_CASE("MemberTable_OtherNameAtTheSameAddress_ReplacesThePreviousMember")
{
    auto cluster = settledCluster();
    stop(cluster, 4, 5);
    cluster.add("replacement", cluster.node(4).member.address, "arima");
    cluster.run(3s);
    CHECK(cluster.table(0).knownCount() == 14);
    CHECK(cluster.table(0).live(cluster.now()).size() == 14);
}

// Delayed messages of an earlier incarnation must not replace the current one.
TEST_CASE("MemberTable_LateHeartbeatOfAnEarlierIncarnation_IsIgnored")
{
    auto now = Core::Instant(1h);
    MemberTable table({ "vm-0", 1, "arima", "10.0.0.1", 80, 90 }, {}, now);
    Heartbeat previous;
    previous.sender = { { "vm-1", 5, "arima", "10.0.0.2", 80, 90 }, 1000 };
    auto current = previous;
    current.sender = { { "vm-1", 6, "arima", "10.0.0.2", 80, 90 }, 1 };
    (void)table.merge(current, now);
    (void)table.merge(previous, now);
    auto const live = table.live(now);
    REQUIRE(live.size() == 2);
    CHECK(live[1].incarnation == 6);
}

// A member that announces that it drains or leaves must be removed at once, not after the two seconds of a suspicion,
// and delayed messages must not bring it back.
TEST_CASE("MemberTable_DrainAndLeave_TakeEffectImmediatelyAndPermanently")
{
    auto cluster = settledCluster();
    auto const state = GENERATE(MemberState::Draining, MemberState::Left);
    cluster.table(6).setState(state);
    cluster.run(150ms);
    cluster.node(6).isDown = state == MemberState::Left;
    cluster.run(400ms);
    for (size_t index = 0; index < cluster.size(); ++index) {
        if (index != 6)
            CHECK_FALSE(cluster.sees(index, 6));
    }
    cluster.run(10s);
    CHECK_FALSE(cluster.sees(0, 6));
}

// A daemon that resumes after a pause would start work with a stale view and stale settings.
TEST_CASE("MemberTable_PausedAndResumed_RefusesWorkUntilAPeerKnowsItAgain")
{
    auto cluster = settledCluster();
    auto& node = cluster.node(7);
    node.isPaused = true;
    cluster.run(5s);
    CHECK(cluster.table(7).workPermit(cluster.now()) == WorkPermit::Resumed);
    node.isPaused = false;
    // Messages that were queued during the pause are merged first. They are older than the end of the pause, so they
    // must not count as contact.
    cluster.route = [](size_t, size_t to) {
        return to == 7 ? std::vector<Core::Duration> {} : std::vector<Core::Duration> { 1ms };
    };
    cluster.run(400ms);
    CHECK(cluster.table(7).workPermit(cluster.now()) == WorkPermit::Resumed);
    cluster.route = [](size_t, size_t) { return std::vector<Core::Duration> { 1ms }; };
    cluster.run(3s);
    CHECK(cluster.table(7).workPermit(cluster.now()) == WorkPermit::Allowed);
}

// An answer of the store is sufficient contact after a pause, but only to a read that started after the pause.
TEST_CASE("MemberTable_PausedAndResumed_OnlyAReadAfterThePauseCounts")
{
    auto const start = Core::Instant(1h);
    MemberTable table({ "vm-0", 1, "arima", "10.0.0.1", 80, 90 }, {}, start);
    (void)table.tick(start);
    (void)table.tick(start + 4s);
    table.noteStoreAnswered(start + 100ms, start + 4s);
    CHECK(table.workPermit(start + 4s) == WorkPermit::Resumed);
    table.noteStoreAnswered(start + 4s, start + 4100ms);
    CHECK(table.workPermit(start + 4100ms) == WorkPermit::Allowed);
}

// A daemon without contact to any other cannot learn that an availability zone was taken out of service.
TEST_CASE("MemberTable_NoContactToAnyPeer_IsIsolatedUnlessTheStoreAnswers")
{
    auto cluster = settledCluster();
    cluster.route = [](size_t from, size_t to) {
        return from == 0 || to == 0 ? std::vector<Core::Duration> {} : std::vector<Core::Duration> { 1ms };
    };
    cluster.run(6s);
    CHECK(cluster.table(0).workPermit(cluster.now()) == WorkPermit::Isolated);
    CHECK(cluster.table(1).workPermit(cluster.now()) == WorkPermit::Allowed);
    cluster.table(0).noteStoreAnswered(cluster.now(), cluster.now());
    CHECK(cluster.table(0).workPermit(cluster.now()) == WorkPermit::Allowed);
}

// If the network is partitioned and the store is down, at most one side may continue. Otherwise a zone that was taken
// out of service could receive work. Both sides must recover without help.
TEST_CASE("MemberTable_SplitBetweenZones_OnlyTheMajorityWorksAndHealingRejoins")
{
    auto const outage = GENERATE(Core::Duration(10s), Core::Duration(100s));
    auto cluster = settledCluster();
    constexpr size_t minority = 5;
    auto const normal = cluster.route;
    cluster.route = [](size_t from, size_t to) {
        auto const isPartitioned = (from < minority) != (to < minority);
        return isPartitioned ? std::vector<Core::Duration> {} : std::vector<Core::Duration> { 1ms };
    };
    cluster.run(outage);
    for (size_t index = 0; index < cluster.size(); ++index)
        CHECK(cluster.table(index).isIsolated(cluster.now()) == (index < minority));
    cluster.route = [](size_t, size_t) { return std::vector<Core::Duration> { 1ms }; };
    cluster.run(15s);
    CHECK(cluster.agreeing() == cluster.size());
    CHECK_FALSE(cluster.table(0).isIsolated(cluster.now()));
}

// While the store is down, only the daemons hold the settings. The last old daemon must pass them on to all new ones.
TEST_CASE("MemberTable_AllReplacedButOne_SettingsReachTheNewOnesAndNobodyIsIsolated")
{
    auto cluster = settledCluster();
    cluster.adopt(0, 7);
    cluster.run(2s);
    for (size_t index = 1; index < 14; ++index) {
        cluster.node(index).isDown = true;
        cluster.add("new-" + std::to_string(100 + index), "10.0.1." + std::to_string(index), "arima", 0);
        cluster.run(2s);
    }
    cluster.run(5s);
    CHECK(cluster.agreeing() == 14);
    for (size_t index = 14; index < cluster.size(); ++index) {
        CHECK(cluster.node(index).settingsRevision == 7);
        CHECK_FALSE(cluster.table(index).isIsolated(cluster.now()));
    }
    CHECK_FALSE(cluster.table(0).isIsolated(cluster.now()));
}

// The VM list can be stale: it must not remove a reachable member, keep an unreachable one, or mark a new instance as
// leaving.
TEST_CASE("MemberTable_StaleVmList_OnlyLeavingMarksCount")
{
    auto cluster = settledCluster();
    auto& table = cluster.table(0);
    auto const& leaving = cluster.node(3).member;
    table.noteVmList({ { leaving.name, leaving.address, true } }, cluster.now());
    CHECK_FALSE(cluster.sees(0, 3));
    CHECK(table.live(cluster.now()).size() == 13);

    cluster.restart(3);
    cluster.run(2s);
    table.noteVmList({ { leaving.name, leaving.address, true } }, cluster.now());
    CHECK(cluster.sees(0, 3));

    stop(cluster, 4, 5);
    cluster.run(4s);
    table.noteVmList({ { cluster.node(4).member.name, cluster.node(4).member.address, false } }, cluster.now());
    CHECK_FALSE(cluster.sees(0, 4));
}

// The settings revision must never decrease: a daemon keeps announcing the newest revision that it knows.
TEST_CASE("MemberTable_OlderSettingsRevision_IsNotAnnounced")
{
    auto now = Core::Instant(1h);
    MemberTable table({ "vm-0", 1, "arima", "10.0.0.1", 80, 90 }, { .seeds = { "10.0.0.9:90" } }, now);
    table.setSettingsRevision(8);
    table.setSettingsRevision(7);
    auto const outgoing = table.tick(now);
    REQUIRE(outgoing.size() == 1);
    CHECK(outgoing[0].heartbeat.settingsRevision == 8);
}
