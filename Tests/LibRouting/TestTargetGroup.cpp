#include "GroupFixture.h"

using namespace Comfreysail;
using namespace Comfreysail::Routing;

namespace {

LoadHint const noHint {};
LoadHint const reportsCold { std::nullopt, std::nullopt, TargetState::Cold };
LoadHint const reportsIdle { 0, 100, TargetState::Serving };

}

// freeCapacity() and pick() must count capacity in the same way; otherwise slots stay empty or requests are queued
// twice.
TEST_CASE_METHOD(GroupFixture, "TargetGroup_AllWarm_TakesOneRequestAheadForEachSlot")
{
    CHECK(m_group.freeCapacity(m_now) == 20);
    CHECK(send(100) == 20);
    for (size_t target = 0; target < 5; ++target)
        CHECK(openOn(name(target)) == 4);
    CHECK(m_group.freeCapacity(m_now) == 0);
}

// A cold target gets one request at a time however long that takes, and reaches its full limit only through completed
// requests.
TEST_CASE_METHOD(GroupFixture, "ColdTarget_TimeWithoutCompletions_KeepsLimitOfOne")
{
    auto list = targets(6);
    m_group.replaceTargets(list, m_now);
    pass(3'600'000);
    send(100);
    CHECK(openOn("t5") == 1);

    size_t completions = 0;
    size_t lastLimit = 1;
    while (openOn("t5") < 4 && completions < 1000) {
        pass(10);
        auto const open = openOn("t5");
        CHECK(open <= lastLimit + 1);
        lastLimit = open;
        answerAll(SendOutcome::Answered, noHint);
        completions += open;
        send(100);
    }
    CHECK(openOn("t5") == 4);
    CHECK(completions >= 4 + 8 + 12);
}

struct ColdCase {
    std::string description;
    SendOutcome outcome;
    LoadHint hint;
};

// A target that restarts without notice must lose its full limit at the first response that shows it.
TEST_CASE_METHOD(GroupFixture, "WarmTarget_AnswerShowsRestart_BecomesCold")
{
    auto const example = GENERATE(values<ColdCase>({
        { "reports that it is cold", SendOutcome::Answered, reportsCold },
        { "sheds the request", SendOutcome::Shed, noHint },
        { "loses its connection", SendOutcome::ConnectionLost, noHint },
        { "has no listener", SendOutcome::ConnectFailed, noHint },
    }));
    CAPTURE(example.description);
    send(1);
    auto const target = m_open.front().target;
    answer(target, example.outcome, example.hint);
    CHECK(m_group.stateOf(target, m_now) == TargetState::Cold);
    pass(1);
    send(100);
    CHECK(openOn(target) <= 1);
}

// A restart that is visible in the list of targets (another port) must not keep the limit of the old process.
TEST_CASE_METHOD(GroupFixture, "WarmTarget_ReplacedByOtherProcess_BecomesCold")
{
    auto list = targets();
    list[2].port = 81;
    m_group.replaceTargets(list, m_now);
    send(100);
    CHECK(openOn("t2") == 1);
}

// Daemons that disagree about the home must not exceed the limit of a cold target together.
TEST_CASE_METHOD(GroupFixture, "ColdTarget_OldHomeNewHomeAndFallbacks_TogetherKeepLimit")
{
    m_group.replaceTargets(targets(6), m_now);
    std::vector<TargetGroup> others;
    for (size_t daemon = 0; daemon < 13; ++daemon) {
        others.push_back(makeGroup(DispatchMode::Fallback));
        others.back().replaceTargets(targets(6), m_now);
        for (size_t target = 0; target < 5; ++target)
            others.back().observe(name(target), TargetState::Serving, m_now);
        others.back().observe("t5", TargetState::Cold, m_now);
    }
    GroupOptions const options { DispatchMode::Fallback, 2, std::chrono::seconds(2) };
    TargetGroup newHome({ "orders", "pos-hall", 0 }, targets(6), options, m_now);
    for (size_t target = 0; target < 5; ++target)
        newHome.observe(name(target), TargetState::Serving, m_now);
    newHome.setMode(DispatchMode::Home, m_now);

    send(100);
    auto cold = openOn("t5");
    CHECK(cold == 1);
    others.push_back(std::move(newHome));
    auto const sendAll = [&] {
        for (auto& group : others) {
            while (true) {
                auto const pick = group.pick({}, m_now);
                if (Core::isError(pick))
                    break;
                cold += Core::valueOf(pick).target == "t5" ? 1 : 0;
            }
        }
    };
    sendAll();
    pass(1'999);
    sendAll();
    CHECK(cold == 1);
    pass(1);
    sendAll();
    CHECK(cold == 2);
}

// A fallback daemon that knows no warm target still serves requests, but sends only one to each unknown target.
TEST_CASE_METHOD(GroupFixture, "Fallback_OnlyUnknownTargets_UsesOneRequestEach")
{
    m_group = makeGroup(DispatchMode::Fallback);
    CHECK(send(100) == 5);
}

// A target that stops responding must lose requests before any of its late responses arrives.
TEST_CASE_METHOD(GroupFixture, "SuddenSlowness_NoAnswerForSeveralServiceTimes_TargetIsSuspect")
{
    send(10);
    REQUIRE(openOn("t0") == 2);
    for (int round = 0; round < 8; ++round) {
        pass(10);
        answerAll(SendOutcome::Answered, noHint, "t0");
        send(8);
    }
    CHECK(m_group.isSuspect("t0", m_now));
    auto const before = openOn("t0");
    send(100);
    CHECK(openOn("t0") == before);

    // After its late responses and some time, the target gets a test request and then its share again.
    while (openOn("t0") > 0)
        answer("t0", SendOutcome::Answered, noHint);
    pass(1'000);
    CHECK_FALSE(m_group.isSuspect("t0", m_now));
}

// A target that becomes cold without reporting it shows that only by slow responses. It must lose most of its requests.
TEST_CASE_METHOD(GroupFixture, "UnreportedCold_AnswersFiveTimesSlower_TargetLosesRequests")
{
    size_t onSlowTarget = 0;
    size_t answered = 0;
    for (int round = 0; round < 200; ++round) {
        send(10 - m_open.size());
        // The first 200 ms are allowed for detection.
        if (round >= 20)
            onSlowTarget = std::max(onSlowTarget, openOn("t2"));
        pass(10);
        answered += m_open.size() - openOn("t2");
        answerAll(SendOutcome::Answered, noHint, "t2");
        if (round % 5 != 4)
            continue;
        for (size_t slot = std::min<size_t>(2, openOn("t2")); slot > 0; --slot)
            answer("t2", SendOutcome::Answered, noHint);
    }
    CHECK(m_group.stateOf("t2", m_now) == TargetState::Serving);
    CHECK(onSlowTarget <= 1);
    CHECK(answered > 1500);
    // The same holds when all other targets are full.
    send(100);
    CHECK(openOn("t2") == 1);
}

// A target that returns errors immediately has the shortest queue and would get most of the requests.
TEST_CASE_METHOD(GroupFixture, "FailingFast_ErrorsWithinOneMillisecond_DoesNotAttractRequests")
{
    auto const outcome = GENERATE(
        SendOutcome::ServerError, SendOutcome::ConnectFailed, SendOutcome::ConnectionLost, SendOutcome::Shed);
    size_t failed = 0;
    for (int round = 0; round < 1000; ++round) {
        pass(1);
        while (openOn("t1") > 0) {
            answer("t1", outcome, noHint);
            ++failed;
        }
        if (round % 10 == 0)
            answerAll(SendOutcome::Answered, noHint, "t1");
        send(1);
    }
    CAPTURE(failed);
    CHECK(failed < 20);
}

// A slow target that reports to be idle must not get more requests for it.
TEST_CASE_METHOD(GroupFixture, "WrongLoadHint_IdleWhileSlow_TargetIsSuspect")
{
    for (int round = 0; round < 30; ++round) {
        send(10);
        pass(10);
        answerAll(SendOutcome::Answered, noHint, "t3");
        if (round % 10 == 9 && openOn("t3") > 0)
            answer("t3", SendOutcome::Answered, reportsIdle);
    }
    CHECK(m_group.isSuspect("t3", m_now));
}

// A target that wrongly reports to be busy or cold must still reach its full limit.
TEST_CASE_METHOD(GroupFixture, "WrongLoadHint_ColdWhileFast_TargetStillReachesFullLimit")
{
    LoadHint const reportsColdAndBusy { 1000, 1, TargetState::Cold };
    for (int round = 0; round < 400; ++round) {
        send(100);
        pass(10);
        while (openOn("t4") > 0)
            answer("t4", SendOutcome::Answered, reportsColdAndBusy);
        answerAll(SendOutcome::Answered, noHint);
    }
    send(100);
    CHECK(openOn("t4") == 4);
}

struct SuspectCase {
    size_t failing;
    bool isIgnored;
};

// When most targets are suspect, avoiding them would overload the rest, so at least half of the group keeps its limits.
TEST_CASE_METHOD(GroupFixture, "SuspectTargets_MoreThanHalfOfGroup_AreIgnored")
{
    auto const example
        = GENERATE(values<SuspectCase>({ { 1, false }, { 2, false }, { 3, true }, { 4, true }, { 5, true } }));
    CAPTURE(example.failing);
    for (int round = 0; round < 4; ++round) {
        send(20);
        pass(10);
        for (size_t target = 0; target < example.failing; ++target) {
            while (openOn(name(target)) > 0)
                answer(name(target), SendOutcome::ServerError, noHint);
        }
        answerAll(SendOutcome::Answered, noHint);
    }
    CHECK(m_group.isSuspect("t0", m_now) == !example.isIgnored);
    CHECK(m_group.freeCapacity(m_now) == (example.isIgnored ? 20 : 20 - 4 * example.failing));
}

// A draining target and a zone that is out of service must immediately get no new requests.
TEST_CASE_METHOD(GroupFixture, "DrainingTargetAndZoneOutOfService_GetNoNewRequests")
{
    m_group.markDraining("t1", m_now);
    CHECK(send(100) == 16);
    CHECK(openOn("t1") == 0);
    answerAll(SendOutcome::Answered, noHint);

    m_group.setAvailabilityZoneInService(false, m_now);
    CHECK(m_group.freeCapacity(m_now) == 0);
    CHECK(send(100) == 0);

    // The targets return cold, so their share grows again only with completed requests.
    m_group.setAvailabilityZoneInService(true, m_now);
    CHECK(send(100) == 4);
}

// If a suspect request ran beside another request, a second crash would have two possible causes.
TEST_CASE_METHOD(GroupFixture, "SuspectRequest_RunsAloneOnItsTarget")
{
    send(4);
    CHECK(send(1, { "", true, true, 0, {} }) == 1);
    auto const target = m_open.back().target;
    CHECK(send(100) == 12);
    CHECK(openOn(target) == 1);
    CHECK(send(1, { "", true, true, 0, {} }) == 0);
}

// A lookup that is sent ahead to a target that runs two downloads would wait for seconds, although other targets have a
// free slot within milliseconds.
TEST_CASE_METHOD(GroupFixture, "Lookup_SlotsOfTargetRunDownloads_IsNotSentAhead")
{
    PickRequest const download { "", true, false, 2, {} };
    send(1, download);
    pass(1'000);
    answerAll(SendOutcome::Answered, noHint);
    send(10, download);
    CHECK(m_group.freeCapacity(m_now) == 10);
    CHECK(send(100) == 0);
}

// Targets that already failed a request and targets of other versions must not get it.
TEST_CASE_METHOD(GroupFixture, "Pick_ExcludedTargetsAndVersions_AreLeftOut")
{
    CHECK(send(100, { "v2", true, false, 0, {} }) == 0);
    CHECK(send(100, { "v1", true, false, 0, { "t0", "t1", "t2", "t3" } }) == 4);
    CHECK(openOn("t4") == 4);
}

// The header comes from the target's process and may contain anything.
TEST_CASE("LoadHint_MalformedHeader_LeavesFieldsEmpty")
{
    CHECK(parseLoadHint("in_flight=3;limit=8;state=cold") == LoadHint { 3, 8, TargetState::Cold });
    CHECK(parseLoadHint("") == LoadHint {});
    CHECK(parseLoadHint("in_flight=-1;limit=99999999999;state=fine;=;x") == LoadHint {});
    CHECK(parseLoadHint(" state = draining ; in_flight=7x") == LoadHint { {}, {}, TargetState::Draining });
}
