#include <LibTraffic/Traffic.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

using namespace Comfreysail;
using namespace Comfreysail::Traffic;
using namespace std::chrono_literals;

namespace {

constexpr unsigned slots = 2;
constexpr auto work = 100ms;
constexpr double fullRate = 20; // Requests per second that a target starts with all slots in use.
constexpr auto stated = 2s;
constexpr auto returnTime = 3s;

Core::Instant at(Core::Duration time) { return Core::Instant(time + 1h); }

std::vector<RegisteredTarget> targetsOf(size_t count)
{
    std::vector<RegisteredTarget> targets(count);
    for (size_t index = 0; index < count; ++index) {
        targets[index].id = std::to_string(index);
        targets[index].service = "orders";
        targets[index].slots = slots;
        targets[index].startedAt = 1;
    }
    return targets;
}

struct Fleet {
    size_t daemons { 0 };
    size_t targets { 0 };
};

/// All daemons were told by all their targets to wait, and send whatever a target allows afterwards. Returns the times
/// since the end of the pause at which targets got requests, until all daemons may send without a limit.
std::vector<std::vector<Core::Duration>> sendAfterPause(Fleet const& fleet, unsigned seed)
{
    std::mt19937 generator(seed);
    std::uniform_real_distribution<double> uniform(0, 1);
    std::vector<TargetDirectory> directories;
    for (size_t daemon = 0; daemon < fleet.daemons; ++daemon) {
        auto& directory = directories.emplace_back("vm-" + std::to_string(daemon));
        directory.replaceAll(targetsOf(fleet.targets), at(0s));
        for (auto const* record : directory.eligible("orders", std::nullopt, {}, at(0s)))
            directory.notePause(record->target.id, stated, work, fleet.daemons, uniform(generator), at(0s));
    }
    std::vector<std::vector<Core::Duration>> sends(fleet.targets);
    for (Core::Duration time = 0s; time < stated + returnTime; time += 10ms) {
        for (auto& directory : directories) {
            for (auto const* record : directory.eligible("orders", std::nullopt, {}, at(time))) {
                // Of more targets than a daemon uses, others take the place of those that it was told about.
                if (!record->pause)
                    continue;
                auto const id = record->target.id;
                directory.noteChosen(id, fleet.daemons, at(time));
                sends[std::stoul(id)].push_back(time - stated);
            }
        }
    }
    return sends;
}

size_t countWithin(std::vector<Core::Duration> const& times, Core::Duration from, Core::Duration until)
{
    return static_cast<size_t>(std::ranges::count_if(times, [&](auto time) { return time >= from && time < until; }));
}

}

// Guards against all that waited for the end of a target's time and arrives at once, from one daemon or from hundreds.
TEST_CASE("TargetPause_AllDaemonsWaited_LoadRisesGraduallyAfterTheEnd")
{
    auto const fleet = GENERATE(values<Fleet>({ { 1, 1 }, { 3, 1 }, { 14, 8 }, { 108, 1 }, { 108, 40 }, { 313, 4 } }));
    constexpr unsigned seeds = 10;
    CAPTURE(fleet.daemons, fleet.targets);
    std::vector<std::vector<Core::Duration>> sends;
    for (unsigned seed = 1; seed <= seeds; ++seed)
        std::ranges::move(sendAfterPause(fleet, seed), std::back_inserter(sends));
    std::vector<size_t> perSecond(3);
    for (auto const& times : sends) {
        CHECK(countWithin(times, -stated, 0s) == 0);
        // A quarter of the full rate and its slots, with what three standard deviations of chance add.
        CHECK(countWithin(times, 0s, 500ms) <= 0.4 * fullRate * 0.5 + slots + 6);
        for (Core::Duration from = 0s; from < returnTime; from += 500ms)
            CHECK(countWithin(times, from, from + 500ms) <= 1.25 * fullRate * 0.5 + slots + 6);
        for (size_t second = 0; second < perSecond.size(); ++second)
            perSecond[second] += countWithin(times, second * 1s, (second + 1) * 1s);
    }
    CHECK(perSecond[0] < perSecond[1]);
    CHECK(perSecond[1] < perSecond[2]);
    // The targets still get a good part of what the rising rate allows, as with a limit.
    constexpr double fullRateSeconds = 0.25 * 3 + 0.75 * 3 / 2;
    auto const total = static_cast<double>(perSecond[0] + perSecond[1] + perSecond[2]);
    CHECK(total >= 0.4 * fullRate * fullRateSeconds * static_cast<double>(sends.size()));
}

// Guards against a target that stays idle after its time, because the few daemons all drew a late moment.
TEST_CASE("TargetPause_FewDaemons_LeaveTheTargetIdleForAShortTimeOnly")
{
    auto const daemons = GENERATE(size_t { 1 }, size_t { 2 }, size_t { 3 });
    Core::Duration longestFirst {};
    Core::Duration longestGap {};
    for (unsigned seed = 1; seed <= 50; ++seed) {
        auto const times = sendAfterPause({ daemons, 1 }, seed).front();
        REQUIRE(times.size() > 10);
        longestFirst = std::max(longestFirst, times.front());
        for (size_t index = 1; index < times.size(); ++index)
            longestGap = std::max(longestGap, times[index] - times[index - 1]);
    }
    CHECK(longestFirst <= (daemons == 1 ? 0ms : 400ms));
    CHECK(longestGap <= 600ms);
}

TEST_CASE("TargetPause_EachStatedTime_HasItsReturn")
{
    PausedTarget const target { slots, work, 4 };
    auto const pause = makePause(10s, target, 0.5, at(0s));
    CHECK(pause.until == at(10s));
    CHECK(pause.returnTime == 3s);
    CHECK(pause.fullRate == Approx(fullRate));
    CHECK(pause.partOfRate == Approx(0.25));
    CHECK(isPaused(pause, at(9999ms)));
    CHECK_FALSE(isPaused(pause, at(10s)));
    CHECK_FALSE(isSendAllowed(pause, at(10s)));
    CHECK(isSendAllowed(pause, at(14s)));
    // A short pause holds few requests back.
    CHECK(makePause(100ms, target, 0, at(0s)).returnTime == 200ms);
    CHECK(isSendAllowed(std::optional<TargetPause> {}, at(0s)));
    // A target without slots or work in its registration still returns.
    CHECK(makePause(1s, { 0, 0s, 0 }, 0.9, at(0s)).fullRate > 0);
    CHECK(isSendAllowed(makePause(1s, { 0, 0s, 0 }, 0.9, at(0s)), at(1s)));
}

// Guards against requests that are told a time at which they cannot be sent, or a later one than they could be.
TEST_CASE("TargetPause_SendTime_IsWhenTheSendIsAllowed")
{
    std::mt19937 generator(7);
    std::uniform_real_distribution<double> uniform(0, 1);
    for (unsigned round = 0; round < 20; ++round) {
        std::vector<TargetPause> pauses;
        for (unsigned target = 0; target < 1 + round % 4; ++target)
            pauses.push_back(makePause(1s + target * 300ms, { slots, work, 1.0 + round }, uniform(generator), at(0s)));
        auto current = pauses;
        for (size_t ahead = 0; ahead < 30; ++ahead) {
            auto const time = sendTime(pauses, ahead);
            // Before its time, each target allows only what the requests before it use.
            auto const usable
                = std::ranges::find_if(current, [&](auto const& pause) { return isSendAllowed(pause, time); });
            REQUIRE(usable != current.end());
            if (ahead == 0)
                CHECK(
                    std::ranges::none_of(current, [&](auto const& pause) { return isSendAllowed(pause, time - 1ms); }));
            *usable = withSend(*usable, time);
        }
        CHECK(sendTime(pauses, 5) <= sendTime(pauses, 6));
        CHECK(sendTime(pauses, 100000) < at(24h));
    }
}

// Guards against a daemon without requests for a while that then sends many at once.
TEST_CASE("TargetPause_AllowedSendsNotMade_AreForgoneButOne")
{
    auto pause = makePause(2s, { slots, work, 1 }, 0, at(0s));
    unsigned sent = 0;
    while (isSendAllowed(pause, at(4s)) && sent < 100) {
        pause = withSend(pause, at(4s));
        ++sent;
    }
    CHECK(sent == 2);
}

// Guards against a return that starts anew, because the registration of the target was written again or lapsed.
TEST_CASE("TargetPause_RegisteredAgainDuringTheReturn_StaysLimited")
{
    TargetDirectory directory("vm");
    auto target = targetsOf(1).front();
    directory.replaceAll({ target }, at(0s));
    directory.notePause("0", 1s, work, 1, 0, at(0s));
    auto const eligible
        = [&](Core::Duration time) { return directory.eligible("orders", std::nullopt, {}, at(time)).size(); };
    CHECK(eligible(1s) == 1);
    directory.noteChosen("0", 1, at(1s));
    CHECK(eligible(1s) == 0);
    target.version = "v2";
    directory.applyChanges({ target }, {}, at(1s));
    CHECK(eligible(1s) == 0);
    directory.applyChanges({}, { "0" }, at(1s));
    directory.applyChanges({ target }, {}, at(1s));
    CHECK(eligible(1s) == 0);
    // A restarted target is another process.
    target.startedAt = 2;
    directory.applyChanges({ target }, {}, at(1s));
    CHECK(eligible(1s) == 1);
}

// Guards against targets that count as paused although one of them can be used, and the reverse.
TEST_CASE("TargetPause_OnlyIfAllTargetsArePaused_TheirPausesCount")
{
    TargetDirectory directory("vm");
    directory.replaceAll(targetsOf(3), at(0s));
    std::set<std::string, std::less<>> noZones;
    auto const pauses
        = [&](Core::Duration time) { return directory.pausesOf("orders", std::nullopt, noZones, at(time)).size(); };
    CHECK(pauses(0s) == 0);
    directory.notePause("0", 1s, work, 1, 0, at(0s));
    directory.notePause("1", 2s, work, 1, 0, at(0s));
    CHECK(pauses(0s) == 0);
    directory.notePause("2", 0s, work, 1, 0, at(0s)); // Asks for nothing.
    CHECK(pauses(0s) == 0);
    directory.noteLeaving("2", at(0s));
    CHECK(pauses(0s) == 2);
    CHECK(pauses(1s) == 0);
    directory.noteChosen("0", 1, at(1s));
    CHECK(pauses(1s) == 2);
    directory.noteFault("0", TargetFault::Unreachable, at(5s));
    CHECK(pauses(5s) == 0);
    CHECK(directory.pausesOf("other", std::nullopt, noZones, at(0s)).empty());
    CHECK(directory.pausesOf("orders", "v9", noZones, at(0s)).empty());
}

// Guards against requests that are held although they cannot be served afterwards, or lose worth while they wait, and
// against refusals of those that can wait.
TEST_CASE("PauseDecision_EachTimeLeft_WaitsOnlyIfItCanBeServed")
{
    struct Case {
        Core::Duration end;
        Core::Duration deadline;
        Core::Duration latencyTarget;
        Core::Duration typicalWork;
        PauseAction action;
    };
    auto const expected = GENERATE(values<Case>({
        { 100ms, 1s, 0s, 100ms, PauseAction::Wait },
        { 100ms, 1s, 800ms, 100ms, PauseAction::Wait },
        { 100ms, 1s, 799ms, 100ms, PauseAction::RefuseForLatency },
        { 900ms, 1s, 0s, 100ms, PauseAction::Wait },
        { 901ms, 1s, 0s, 100ms, PauseAction::RefuseForDeadline },
        { 100ms, 1s, 800ms, 901ms, PauseAction::RefuseForDeadline },
        { 970ms, 1s, 0s, 0s, PauseAction::Wait },
        { 990ms, 1s, 0s, 0s, PauseAction::RefuseForDeadline },
        { 300s, 1s, 400ms, 100ms, PauseAction::RefuseForDeadline },
    }));
    CAPTURE(expected.end.count(), expected.deadline.count(), expected.latencyTarget.count());
    std::vector<TargetPause> const pauses { makePause(expected.end, { slots, work, 1 }, 0, at(0s)) };
    PausedRequest const request { at(0s), at(expected.deadline), expected.latencyTarget, expected.typicalWork };
    CHECK(decideOnPause(request, pauses, 0, at(0s)) == PauseDecision { expected.action, at(expected.end) });
    // The wait counts from the arrival, and those ahead go first.
    auto late = request;
    late.arrivedAt = at(-1s);
    if (expected.latencyTarget.count() > 0)
        CHECK(decideOnPause(late, pauses, 0, at(0s)).action != PauseAction::Wait);
    CHECK(decideOnPause(request, pauses, 10'000, at(0s)).action != PauseAction::Wait);
}
