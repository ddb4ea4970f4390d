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
    std::set<std::string, std::less<>> zonesOut;

    std::vector<std::string> eligible(Core::Duration time) const
    {
        std::vector<std::string> ids;
        for (auto const* record : directory.eligible("orders", std::nullopt, zonesOut, at(time)))
            ids.push_back(record->target.id);
        return ids;
    }
    using Ids = std::vector<std::string>;
};

}

TEST_CASE_METHOD(DirectoryFixture, "TargetDirectory_DrainingGoneOrZoneOut_GetsNothing")
{
    auto draining = target("b");
    draining.state = RegistrationState::Draining;
    directory.replaceAll({ target("a"), draining, target("c") }, at(0s));
    CHECK(eligible(0s) == Ids { "a", "c" });
    directory.replaceAll({ target("a") }, at(1s));
    CHECK(eligible(1s) == Ids { "a" });
    zonesOut.insert("z1");
    CHECK(eligible(1s).empty());
}

// Registrations expire while the registry is down and are back within 2 s of its return; dropping all targets at once
// would refuse every request, keeping them for longer would send to targets that left.
TEST_CASE_METHOD(DirectoryFixture, "TargetDirectory_RegistryReturnsWithoutEntries_KeepsThemForTheGrace")
{
    directory.replaceAll({ target("a"), target("b") }, at(0s));
    directory.replaceAll({ target("a") }, at(5s));
    CHECK(eligible(5s) == Ids { "a", "b" });
    directory.replaceAll({ target("a") }, at(6s));
    CHECK(eligible(6900ms) == Ids { "a", "b" });
    directory.replaceAll({ target("a") }, at(7100ms));
    CHECK(eligible(7100ms) == Ids { "a" });
}

// A target that starts again under its id knows nothing of before; its old faults and its old warmth do not hold.
TEST_CASE_METHOD(DirectoryFixture, "TargetDirectory_SameIdStartedAgain_IsANewTarget")
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

// An entry repeats its cold time until it changes; counting it from each reading would keep the target cold for good.
TEST_CASE_METHOD(DirectoryFixture, "TargetDirectory_UnchangedColdTime_CountsFromItsFirstReading")
{
    auto cold = target("a");
    cold.coldLeft = 3s;
    directory.replaceAll({ cold }, at(0s));
    directory.replaceAll({ cold }, at(2s));
    CHECK(directory.find("a")->coldUntil == at(3s));
}

TEST_CASE_METHOD(DirectoryFixture, "TargetDirectory_Faults_AvoidForLongerEachTime")
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

// One failed request may be the request's own fault.
TEST_CASE_METHOD(DirectoryFixture, "TargetDirectory_OneFailedRequest_IsNotAvoided")
{
    directory.replaceAll({ target("a") }, at(0s));
    directory.noteFault("a", TargetFault::FailedRequest, at(0s));
    CHECK(eligible(0s) == Ids { "a" });
    directory.noteFault("a", TargetFault::FailedRequest, at(0s));
    CHECK(eligible(0s).empty());
}

// A target that left while a request of it runs stays known until the request has ended.
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
