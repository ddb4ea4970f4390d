#include <LibTraffic/Traffic.h>
#include <algorithm>
#include <catch2/catch.hpp>

using namespace Comfreysail;
using namespace Comfreysail::Traffic;
using namespace std::chrono_literals;

namespace {

Core::Instant at(Core::Duration time) { return Core::Instant(time + 1h); }

RegisteredTarget target(std::string id, int64_t startedAt = 1)
{
    RegisteredTarget result;
    result.id = std::move(id);
    result.service = "orders";
    result.address = "10.0.0.1";
    result.port = 80;
    result.availabilityZone = "z1";
    result.version = "v1";
    result.slots = 2;
    result.startedAt = startedAt;
    return result;
}

struct DirectoryFixture {
    TargetDirectory directory;
    std::set<std::string, std::less<>> zonesOutOfService;

    std::vector<std::string> eligible(Core::Duration time) const
    {
        std::vector<std::string> ids;
        for (auto const* record : directory.eligible("orders", std::nullopt, zonesOutOfService, at(time)))
            ids.push_back(record->target.id);
        std::ranges::sort(ids);
        return ids;
    }
    using Ids = std::vector<std::string>;
};

}

TEST_CASE_METHOD(DirectoryFixture, "TargetDirectory_DrainingGoneOrZoneOutOfService_IsNotEligible")
{
    auto draining = target("b");
    draining.state = RegistrationState::Draining;
    directory.replaceAll({ target("a"), draining, target("c") }, at(0s));
    CHECK(eligible(0s) == Ids { "a", "c" });
    directory.replaceAll({ target("a") }, at(1s));
    CHECK(eligible(1s) == Ids { "a" });
    zonesOutOfService.insert("z1");
    CHECK(eligible(1s).empty());
}

// Guards against a daemon that begins to read the registry after a late write has made a draining target ready again:
// the others must not follow it.
TEST_CASE_METHOD(DirectoryFixture, "TargetDirectory_ReadyAgainAfterDraining_IsNotEligibleUntilItRestarts")
{
    bool const wasRemoved = GENERATE(false, true);
    auto draining = target("a");
    draining.state = RegistrationState::Draining;
    directory.replaceAll({ draining }, at(0s));
    if (wasRemoved)
        directory.replaceAll({}, at(1s));
    directory.replaceAll({ target("a") }, at(2s));
    CHECK(eligible(2s).empty());
    directory.replaceAll({ target("a", 2) }, at(3s));
    CHECK(eligible(3s) == Ids { "a" });
}

// Registrations expire while the registry is down and are back within 2 s of its return. Dropping all targets at once
// would refuse every request; keeping them longer would send requests to targets that left.
TEST_CASE_METHOD(DirectoryFixture, "TargetDirectory_RegistryReturnsWithoutEntries_KeepsTargetsForAGracePeriod")
{
    directory.replaceAll({ target("a"), target("b") }, at(0s));
    directory.replaceAll({ target("a") }, at(5s));
    CHECK(eligible(5s) == Ids { "a", "b" });
    directory.replaceAll({ target("a") }, at(6s));
    CHECK(eligible(6900ms) == Ids { "a", "b" });
    directory.replaceAll({ target("a") }, at(7100ms));
    CHECK(eligible(7100ms) == Ids { "a" });
}

// A restarted target under the same id is a new process: earlier faults and its earlier warm-up no longer apply.
TEST_CASE_METHOD(DirectoryFixture, "TargetDirectory_RestartedUnderTheSameId_IsANewTarget")
{
    directory.replaceAll({ target("a") }, at(0s));
    directory.noteFault("a", TargetFault::OtherTarget, at(0s));
    CHECK(eligible(0s).empty());
    auto again = target("a", 2);
    again.coldLeft = 3s;
    directory.replaceAll({ again }, at(1s));
    CHECK(eligible(1s) == Ids { "a" });
    CHECK(directory.find("a")->coldUntil == at(4s));
}

// The cold time of an entry stays the same until the target writes it again. Counting it from each read would keep the
// target cold forever.
TEST_CASE_METHOD(DirectoryFixture, "TargetDirectory_UnchangedColdTime_CountsFromItsFirstRead")
{
    auto cold = target("a");
    cold.coldLeft = 3s;
    directory.replaceAll({ cold }, at(0s));
    directory.replaceAll({ cold }, at(2s));
    CHECK(directory.find("a")->coldUntil == at(3s));
}

TEST_CASE_METHOD(DirectoryFixture, "TargetDirectory_RepeatedFaults_EjectForLongerEachTime")
{
    directory.replaceAll({ target("a") }, at(0s));
    directory.noteFault("a", TargetFault::Unreachable, at(0s));
    CHECK(eligible(299ms).empty());
    CHECK(eligible(300ms) == Ids { "a" });
    directory.noteFault("a", TargetFault::Unreachable, at(1s));
    CHECK(eligible(1599ms).empty());
    CHECK(eligible(1600ms) == Ids { "a" });
    directory.noteAnswered("a");
    directory.noteFault("a", TargetFault::Unreachable, at(2s));
    CHECK(eligible(2300ms) == Ids { "a" });
}

// A single failed request may be the fault of the request.
TEST_CASE_METHOD(DirectoryFixture, "TargetDirectory_OneFailedRequest_DoesNotEject")
{
    directory.replaceAll({ target("a") }, at(0s));
    directory.noteFault("a", TargetFault::FailedRequest, at(0s));
    CHECK(eligible(0s) == Ids { "a" });
    directory.noteFault("a", TargetFault::FailedRequest, at(0s));
    CHECK(eligible(0s).empty());
}

// A target that leaves while one of its requests is in flight stays known until that request has ended.
TEST_CASE_METHOD(DirectoryFixture, "TargetDirectory_LeftWithARequestInFlight_IsKeptButNotEligible")
{
    directory.replaceAll({ target("a") }, at(0s));
    directory.noteSent("a");
    directory.replaceAll({}, at(1s));
    CHECK(eligible(1s).empty());
    REQUIRE(directory.find("a"));
    directory.noteEnded("a");
    directory.replaceAll({}, at(2s));
    CHECK_FALSE(directory.find("a"));
}

// A daemon uses few targets of a large service, and keeps them while others come and go. Otherwise each request would
// need a new connection.
TEST_CASE("TargetDirectory_MoreTargetsThanOneDaemonUses_KeepsItsOwnWhileOthersChange")
{
    DirectoryOptions const options;
    std::set<std::string, std::less<>> const noZones;
    std::vector<RegisteredTarget> targets;
    for (int number = 0; number < 3000; ++number)
        targets.push_back(target("t" + std::to_string(number)));
    TargetDirectory directory("daemon-1", options);
    TargetDirectory other("daemon-2", options);
    directory.replaceAll(targets, at(0s));
    other.replaceAll(targets, at(0s));
    auto const idsOf = [&](TargetDirectory const& subject, Core::Duration time) {
        std::set<std::string> ids;
        for (auto const* record : subject.eligible("orders", std::nullopt, noZones, at(time)))
            ids.insert(record->target.id);
        return ids;
    };
    auto const before = idsOf(directory, 0s);
    REQUIRE(before.size() == options.maxTargetsPerDaemon);
    CHECK(before != idsOf(other, 0s));
    std::vector<std::string> removed;
    for (int number = 0; number < 3000; ++number) {
        auto const id = "t" + std::to_string(number);
        if (!before.contains(id) && number % 2 == 0)
            removed.push_back(id);
    }
    directory.applyChanges({}, removed, at(1s));
    CHECK(directory.size() == 3000 - removed.size());
    CHECK(idsOf(directory, 1s) == before);
    directory.noteFault(*before.begin(), TargetFault::Unreachable, at(1s));
    auto const without = idsOf(directory, 1s);
    CHECK(without.size() == before.size());
    CHECK_FALSE(without.contains(*before.begin()));
}

// Differences must have the same effect as a complete read, also where a target changes its service or restarts.
TEST_CASE("TargetDirectory_ChangesApplied_EqualACompleteRead")
{
    std::set<std::string, std::less<>> const noZones;
    auto moved = target("b");
    moved.service = "records";
    auto draining = target("c", 2);
    draining.state = RegistrationState::Draining;
    draining.version = "v2";
    TargetDirectory complete;
    TargetDirectory changed;
    for (auto* directory : { &complete, &changed })
        directory->replaceAll({ target("a"), target("b"), target("c"), target("d") }, at(0s));
    complete.replaceAll({ target("a"), moved, draining, target("e") }, at(1s));
    changed.applyChanges({ moved, draining, target("e") }, { "d", "unknown" }, at(1s));
    for (auto const* service : { "orders", "records" }) {
        std::vector<DirectoryEntry> left;
        std::vector<DirectoryEntry> right;
        for (auto const* record : complete.eligible(service, std::nullopt, noZones, at(1s)))
            left.push_back(*record);
        for (auto const* record : changed.eligible(service, std::nullopt, noZones, at(1s)))
            right.push_back(*record);
        CHECK(left == right);
        CHECK(complete.versionsOf(service) == changed.versionsOf(service));
    }
    CHECK(changed.versionsOf("orders") == std::map<std::string, unsigned, std::less<>> { { "v1", 2 } });
    CHECK(changed.versionsOf("records") == std::map<std::string, unsigned, std::less<>> { { "v1", 1 } });
    CHECK(changed.size() == complete.size());
}

// A removed target with a request in flight stays known until the request ends, but gets no new ones.
TEST_CASE_METHOD(DirectoryFixture, "TargetDirectory_RemovedWithRequestInFlight_IsDroppedAfterTheRequest")
{
    directory.replaceAll({ target("a"), target("b") }, at(0s));
    directory.noteSent("b");
    directory.applyChanges({}, { "b" }, at(1s));
    CHECK(eligible(1s) == Ids { "a" });
    CHECK(directory.find("b"));
    directory.noteEnded("b");
    directory.applyChanges({}, {}, at(2s));
    CHECK_FALSE(directory.find("b"));
    directory.applyChanges({ target("b") }, {}, at(3s));
    CHECK(eligible(3s) == Ids { "a", "b" });
}

// Guards against requests to a target that said that it leaves, because its registration lapsed and returned, was read
// late, or still calls it ready.
TEST_CASE_METHOD(DirectoryFixture, "TargetDirectory_TargetSaidThatItLeaves_IsUsedOnlyAfterARestart")
{
    directory.replaceAll({ target("a"), target("b") }, at(0s));
    directory.noteLeaving("a", at(0s));
    CHECK(eligible(0s) == Ids { "b" });
    directory.replaceAll({ target("a"), target("b") }, at(1s));
    CHECK(eligible(1s) == Ids { "b" });
    directory.replaceAll({ target("b") }, at(2s));
    CHECK(directory.find("a") == nullptr);
    directory.replaceAll({ target("a"), target("b") }, at(3s));
    CHECK(eligible(3s) == Ids { "b" });
    directory.applyChanges({ target("a", 2) }, {}, at(4s));
    CHECK(eligible(4s) == Ids { "a", "b" });
    // Another target at the same address is another target.
    directory.applyChanges({ target("c") }, {}, at(5s));
    CHECK(eligible(5s) == Ids { "a", "b", "c" });
}

// Guards against requests to a target that refused one and wants none for some time, also when it registers again
// meanwhile.
TEST_CASE_METHOD(DirectoryFixture, "TargetDirectory_TargetWantsNoRequestsForSomeTime_GetsNone")
{
    directory.replaceAll({ target("a"), target("b") }, at(0s));
    directory.notePause("a", 5s, 0s, 1, 0.5, at(0s));
    directory.notePause("a", 4s, 0s, 1, 0.5, at(0s));
    directory.noteAnswered("a");
    CHECK(eligible(0s) == Ids { "b" });
    CHECK(directory.firstReturn("orders", at(0s)) == at(5s));
    directory.replaceAll({ target("b") }, at(1s));
    directory.replaceAll({ target("a"), target("b") }, at(2s));
    CHECK(eligible(4900ms) == Ids { "b" });
    CHECK(eligible(5s) == Ids { "a", "b" });
    CHECK_FALSE(directory.firstReturn("orders", at(5s)));
    directory.notePause("a", 45s, 0s, 1, 0.5, at(5s));
    directory.applyChanges({ target("a", 2) }, {}, at(6s));
    CHECK(eligible(6s) == Ids { "a", "b" });
}

// Guards against callers that come back before any target can be used, or too late to be served.
TEST_CASE("RetryAfter_NoTargetUntilLater_FollowsItWithinAThirdOfTheTimeLeft")
{
    CHECK(retryAfter({}, {}, 0) == 100ms);
    CHECK(retryAfter({}, {}, 0.5) == 250ms);
    CHECK(retryAfter(1s, {}, 0.5) == 1250ms);
    CHECK(retryAfter(1s, 9s, 0.5) == 1250ms);
    CHECK(retryAfter(5s, 3s, 0.5) == 1s);
    CHECK(retryAfter(-1s, 3s, 0) == 100ms);
    CHECK(retryAfter(1s, -1s, 0) == 0s);
}
