#include <LibTraffic/Traffic.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

using namespace Comfreysail;
using namespace Comfreysail::Traffic;
using namespace std::chrono_literals;

namespace {

constexpr auto window = 4s;
constexpr double perDaemon = 6; // Requests per second that each daemon has for the service.

Core::Instant at(Core::Duration time) { return Core::Instant(time + 1h); }

struct Fleet {
    size_t daemons { 0 };
    size_t targets { 0 };
    double limit { 0 };
};

/// Sends the requests of all daemons to targets that have named a limit to each of them, and returns the times at which
/// each target got one.
std::vector<std::vector<Core::Duration>> sendToLimitedTargets(Fleet const& fleet, unsigned seed)
{
    std::mt19937 generator(seed);
    std::uniform_real_distribution<double> uniform(0, 1);
    std::vector<RegisteredTarget> targets(fleet.targets);
    for (size_t index = 0; index < targets.size(); ++index) {
        targets[index].id = std::to_string(index);
        targets[index].service = "orders";
    }
    std::vector<TargetDirectory> directories;
    for (size_t daemon = 0; daemon < fleet.daemons; ++daemon) {
        directories.emplace_back("vm-" + std::to_string(daemon));
        directories.back().replaceAll(targets, at(0s));
        for (auto const* record : directories.back().eligible("orders", std::nullopt, {}, at(0s)))
            directories.back().noteLimit(
                record->target.id, fleet.limit, false, at(0s), fleet.daemons, uniform(generator), at(0s));
    }
    std::vector<std::vector<Core::Duration>> sends(fleet.targets);
    for (Core::Duration time = 0s; time < 20s; time += 20ms) {
        for (auto& directory : directories) {
            if (uniform(generator) > perDaemon * 0.02)
                continue;
            auto const eligible = directory.eligible("orders", std::nullopt, {}, at(time));
            if (eligible.empty())
                continue;
            auto const id
                = eligible[static_cast<size_t>(uniform(generator) * static_cast<double>(eligible.size()))]->target.id;
            directory.noteChosen(id, fleet.daemons, at(time));
            directory.noteLimit(id, fleet.limit, false, at(time), fleet.daemons, uniform(generator), at(time + 100ms));
            sends[std::stoul(id)].push_back(time);
        }
    }
    return sends;
}

size_t mostInAWindow(std::vector<Core::Duration> const& times)
{
    size_t most = 0;
    for (auto first = times.begin(); first != times.end(); ++first)
        most = std::max(most, static_cast<size_t>(std::upper_bound(first, times.end(), *first + window) - first));
    return most;
}

}

// Guards against daemons that together send a target in need far more than the limit that it has named.
TEST_CASE("TargetLimit_AllDaemonsSendToLimitedTargets_EachStaysWithinItsLimit")
{
    auto const fleet = GENERATE(values<Fleet>({ { 14, 22, 1.1 }, { 14, 22, 2.2 }, { 14, 8, 10 }, { 108, 15, 1 },
        { 108, 232, 1.1 }, { 108, 232, 5 }, { 313, 450, 2 } }));
    auto const seed = GENERATE(1U, 2U);
    CAPTURE(fleet.daemons, fleet.targets, fleet.limit, seed);
    auto const allowed = 1.5 * fleet.limit * 4 + 5;
    size_t total = 0;
    for (auto const& times : sendToLimitedTargets(fleet, seed)) {
        CHECK(static_cast<double>(mostInAWindow(times)) <= allowed);
        total += times.size();
    }
    // The targets still get a good part of what they offer.
    CHECK(static_cast<double>(total) >= 0.4 * fleet.limit * 20 * static_cast<double>(fleet.targets));
}

TEST_CASE("TargetLimit_NamedAgainOrNoMore_FollowsTheTarget")
{
    std::optional<TargetLimit> limit = withNamedLimit({}, 1, false, 8, 0.5, at(0s));
    CHECK(sendInterval(*limit, 8) == 8s);
    CHECK_FALSE(isSendAllowed(limit, at(3900ms)));
    CHECK(isSendAllowed(limit, at(4s)));
    limit = withSend(*limit, 8, at(4s));
    CHECK_FALSE(isSendAllowed(limit, at(11s)));
    // A higher limit takes effect at once; hearing of the same one again does not postpone the next send.
    CHECK(isSendAllowed(withNamedLimit(limit, 4, false, 8, 0.9, at(6s)), at(8s)));
    CHECK(isSendAllowed(withNamedLimit(limit, 1, false, 8, 0.9, at(11s)), at(12s)));
    // A response to a request that was sent before the limit was named does not end it, and neither does a load probe
    // of a target that names it only in responses to requests.
    CHECK_FALSE(isEndedBy(*limit, false, at(0s)));
    CHECK(isEndedBy(*limit, false, at(1s)));
    CHECK_FALSE(isEndedBy(*limit, true, at(1s)));
    CHECK(isEndedBy(withNamedLimit(limit, 1, true, 8, 0, at(1s)), true, at(2s)));
}

// Guards against a target that is never asked again, because a daemon that may send nothing does not hear a limit end.
TEST_CASE("TargetLimit_ZeroOrNotNamedAgain_IsTriedAgainAfterAStatedTime")
{
    auto limit = withNamedLimit({}, 0, false, 300, 0.99, at(0s));
    CHECK_FALSE(isSendAllowed(limit, at(290s)));
    CHECK(isSendAllowed(limit, at(301s)));
    CHECK_FALSE(isProbeDue(limit, at(900ms)));
    CHECK(isProbeDue(limit, at(1s)));
    limit.probedAt = at(1s);
    CHECK_FALSE(isProbeDue(limit, at(1900ms)));
}
