#include <LibTraffic/Traffic.h>
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
