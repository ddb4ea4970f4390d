#include <LibTraffic/Traffic.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

using namespace Comfreysail;
using namespace Comfreysail::Traffic;
using namespace std::chrono_literals;

namespace {

Core::Instant at(Core::Duration time) { return Core::Instant(time + 1h); }

// From the platform's settings: within 10 s, the retries of a service may number at most a fifth of its requests plus
// 56.
constexpr double allowedRatio = 0.2;
constexpr double allowedSlack = 56;
constexpr unsigned daemons = 18; // 14 entry VMs and 4 spare ones.

}

// All daemons together must stay within the retry budget of a service without coordination, even if every request fails
// from the start.
TEST_CASE("SharedRetryBudget_EveryRequestFailsAtAllDaemons_StaysWithinTheBudget")
{
    auto const requestsPerDaemon = GENERATE(0, 1, 7, 50, 400);
    // All daemons start at the same time, before or after the members are known. 4 VMs may be added meanwhile.
    auto const knownDaemons = GENERATE(0U, daemons - 4);
    unsigned repeated = 0;
    for (unsigned daemon = 0; daemon < daemons; ++daemon) {
        SharedRetryBudget budget(allowedRatio, allowedSlack);
        budget.setDaemons(knownDaemons);
        for (int request = 0; request < requestsPerDaemon; ++request) {
            budget.noteFirstSend("orders");
            while (budget.tryTake("orders"))
                ++repeated;
        }
    }
    CAPTURE(requestsPerDaemon);
    CHECK(repeated <= allowedRatio * requestsPerDaemon * daemons + allowedSlack);
}

// Tokens that are earned in a quiet period must not pay for a later burst of retries.
TEST_CASE("SharedRetryBudget_LongQuietTime_IsNotSavedUp")
{
    SharedRetryBudget budget(allowedRatio, allowedSlack);
    budget.setDaemons(daemons - 4);
    for (int request = 0; request < 10'000; ++request)
        budget.noteFirstSend("orders");
    unsigned repeated = 0;
    while (budget.tryTake("orders"))
        ++repeated;
    CHECK(repeated * daemons <= allowedSlack);
}

// A cold target tolerates only a few requests per second from all daemons together.
TEST_CASE("ColdTargetRateLimiter_AllDaemonsAtOnce_StayWithinTheRate")
{
    constexpr double perSecond = 4.8;
    // The allowed number in any second is 1.5 times the rate plus 5.
    constexpr double allowed = perSecond * 1.5 + 5;
    std::mt19937 generator(GENERATE(1, 2, 3, 4, 5));
    std::uniform_real_distribution<double> uniform(0, 1);
    std::vector<ColdTargetRateLimiter> limiters(daemons);
    std::vector<double> phases;
    for (size_t daemon = 0; daemon < daemons; ++daemon)
        phases.push_back(uniform(generator));
    std::vector<Core::Duration> sends;
    // All daemons discover the cold target at the same moment and send whenever they are allowed to.
    for (auto time = 0ms; time < 60s; time += 10ms) {
        for (size_t daemon = 0; daemon < daemons; ++daemon) {
            if (limiters[daemon].tryTake("a", perSecond, daemons, phases[daemon], at(time)))
                sends.push_back(time);
        }
    }
    for (size_t first = 0; first < sends.size(); ++first) {
        auto const last = std::upper_bound(sends.begin(), sends.end(), sends[first] + Core::Duration(1s));
        CHECK(static_cast<double>(last - sends.begin()) - static_cast<double>(first) <= allowed);
    }
    CHECK(static_cast<double>(sends.size()) >= 60 * perSecond / 2);
}

TEST_CASE("ColdTargetRateLimiter_NoRateStated_SendsNothing")
{
    ColdTargetRateLimiter limiter;
    CHECK_FALSE(limiter.tryTake("a", 0, 1, 0, at(0s)));
}
