#include <LibTraffic/Traffic.h>
#include <catch2/catch.hpp>
#include <random>

using namespace Comfreysail;
using namespace Comfreysail::Traffic;
using namespace std::chrono_literals;

namespace {

// From the platform's settings: a bad version gets a tenth of the service's requests at most, and 50 more; after its
// 50th bad response nothing that was sent 5 s later.
constexpr double allowedShare = 0.1;
constexpr double allowedSlack = 50;

struct MoveJudgeFixture {
    VersionMove move { "orders", "v2", 16s, 5 };
    MoveOptions options;
};

}

// A bad version must be found on the trial's share of the traffic, before all traffic goes to it.
TEST_CASE_METHOD(MoveJudgeFixture, "Move_BadVersion_IsFoundDuringTheTrial")
{
    auto const failureShare = GENERATE(0.3, 0.5, 1.0);
    auto const requestsPerSecond = GENERATE(20, 65, 200);
    std::mt19937 generator(7);
    std::uniform_real_distribution<double> uniform(0, 1);
    VersionEvidence newVersion;
    VersionEvidence oldVersion;
    std::optional<Core::Duration> foundAfter;
    uint64_t total = 0;
    auto const step = Core::Duration(1s) / requestsPerSecond;
    for (auto since = Core::Duration {}; since < move.duration && !foundAfter; since += step) {
        ++total;
        bool const goesToNew = uniform(generator) < shareOfNewVersion(move, since, options);
        auto& side = goesToNew ? newVersion : oldVersion;
        ++side.requests;
        bool const isFailure = goesToNew ? uniform(generator) < failureShare : uniform(generator) < 0.004;
        side.failures += isFailure ? 1 : 0;
        if (isBad(newVersion, oldVersion, options))
            foundAfter = since;
    }
    CAPTURE(failureShare, requestsPerSecond, newVersion.requests, total);
    REQUIRE(foundAfter);
    CHECK(shareOfNewVersion(move, *foundAfter, options) < 1);
    CHECK(static_cast<double>(newVersion.requests) <= allowedShare * static_cast<double>(total) + allowedSlack);
}

TEST_CASE_METHOD(MoveJudgeFixture, "Move_GoodVersion_IsFinishedWithinItsTime")
{
    auto const duration = GENERATE(as<Core::Duration> {}, 8s, 12s, 16s, 60s);
    move.duration = duration;
    CHECK_FALSE(isFinished(move, 0s, options));
    CHECK(isFinished(move, duration - 500ms, options));
    CHECK(shareOfNewVersion(move, duration - options.settleTime, options) == 1);
}

// Both versions are slow on the same day when the targets' VMs are; only the difference speaks against the new one.
TEST_CASE_METHOD(MoveJudgeFixture, "Move_BothVersionsEquallyBad_IsNotRolledBack")
{
    CHECK_FALSE(isBad({ 100, 20, 60 }, { 1000, 200, 600 }, options));
    CHECK(isBad({ 100, 40, 0 }, { 1000, 200, 0 }, options));
    CHECK(isBad({ 100, 0, 95 }, { 1000, 0, 300 }, options));
    CHECK_FALSE(isBad({ 100, 2, 0 }, { 1000, 0, 0 }, options));
}
