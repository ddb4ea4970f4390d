#include "EntryFixture.h"

#include <LibRetry/Retry.h>
#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <set>
#include <thread>

using namespace Comfreysail;
using namespace Comfreysail::Tests;
using namespace std::chrono_literals;

namespace {

std::string const lookup = "/read/today";
std::string const crashTable = "comfreysail-crashes";

/// The time by the fake platform's clock, which is the steady clock of this machine.
Core::Duration storeNow() { return Core::monotonicNow().time_since_epoch(); }

/// A fixture whose targets crash on demand: they reset their connections and refuse new ones until they restart.
class CrashFixture : public EntryFixture {
public:
    /// Adds targets that take `workTime` for a lookup and crash when they get the request /read/poison.
    void addTargets(unsigned count, std::chrono::milliseconds workTime)
    {
        for (unsigned number = 1; number <= count; ++number) {
            auto const index = m_crashableTargets.size();
            auto& target
                = addTarget("t" + std::to_string(number), [this, index, workTime](auto& connection, auto& head) {
                      return respond(index, workTime, connection, head);
                  });
            m_crashableTargets.push_back(&target);
        }
    }

    /// Crashes a target that runs a request and was not crashed before. Returns false if there is none.
    bool crashWorkingTarget()
    {
        for (size_t index = 0; index < m_crashableTargets.size(); ++index) {
            if (m_working[index] == 0 || !m_crashed.insert(index).second)
                continue;
            m_crashableTargets[index]->crash();
            return true;
        }
        return false;
    }

    void restartTargets()
    {
        for (auto* const target : m_crashableTargets)
            target->restart();
    }

    unsigned runs() const
    {
        unsigned sum = 0;
        for (auto const* const target : m_crashableTargets)
            sum += target->runs;
        return sum;
    }

    DaemonProcess& startNamed(std::string const& name, std::vector<uint16_t> seedPorts = {})
    {
        DaemonOptions options;
        options.vmName = name;
        options.seedPorts = std::move(seedPorts);
        return startDaemon(options);
    }

    /// Writes three reports that targets crashed while they ran the lookup.
    void reportThreeCrashes(std::string const& value)
    {
        auto const fingerprint = Retry::fingerprintOf({ "orders", "GET", lookup, "" });
        for (auto const* instance : { "a@1", "b@1", "c@1" })
            writeCrashRow(Retry::crashRowKey({ fingerprint, instance }), value);
    }

    /// Sends the request until it is refused. Returns the number of targets that it has crashed.
    unsigned crashTargetsUntilRefused(std::string const& path)
    {
        auto const before = runs();
        for (int count = 0; count < 6 && call("GET", path).field("Comfreysail-Error") != "request_quarantined"; ++count)
            std::this_thread::sleep_for(400ms);
        return runs() - before;
    }

private:
    bool respond(size_t index, std::chrono::milliseconds workTime, RawConnection& connection, std::string const& head)
    {
        auto& target = *m_crashableTargets[index];
        if (head.starts_with("GET /read/poison-while-responding ")) {
            // The system may drop what a reset overtakes, so the daemon gets some time to read it.
            connection.send(
                signedResponse(head, std::string(m_poisonBodyBytes, 'x')).substr(0, m_poisonBodyBytes - 1000));
            std::this_thread::sleep_for(50ms);
        }
        if (head.starts_with("GET /read/poison"))
            target.crash();
        ++m_working[index];
        auto const end = std::chrono::steady_clock::now() + workTime;
        while (!target.isDown && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(1ms);
        --m_working[index];
        if (target.isDown) {
            connection.reset();
            return false;
        }
        return connection.send(signedResponse(head, "whole"));
    }

protected:
    size_t m_poisonBodyBytes { 2000 }; ///< Of the response to /read/poison-while-responding.

private:
    std::vector<EntryTarget*> m_crashableTargets;
    std::array<std::atomic<unsigned>, 8> m_working {}; ///< Requests that run at each target.
    std::set<size_t> m_crashed;
};

/// Callers that each send the lookup again and again, one at a time.
class LookupCallers {
public:
    LookupCallers(DaemonProcess const& daemon, unsigned count)
    {
        for (unsigned number = 0; number < count; ++number) {
            m_threads.emplace_back([&daemon, number](std::stop_token const& stop) {
                for (unsigned sent = 0; !stop.stop_requested(); ++sent) {
                    auto connection = daemon.connect();
                    connection.send(EntryFixture::requestText(
                        "GET", lookup, "c" + std::to_string(number) + "n" + std::to_string(sent)));
                    connection.readResponse();
                }
            });
        }
    }

private:
    std::vector<std::jthread> m_threads;
};

}

// Guards against a lookup that is refused for ten minutes after a restart: it was in flight at three crashes of targets
// that it did not cause, and the new daemons counted the three reports without the responses that it got in between.
TEST_CASE_METHOD(CrashFixture, "Entry_LookupInFlightAtThreeCrashes_IsServedAfterARestartOfAllDaemons")
{
    StopAtScopeEnd const stop(*this);
    addTargets(5, 150ms);
    auto& first = startNamed("entry-1");
    startNamed("entry-2", { first.controlPort() });
    REQUIRE(eventually([&] { return storeKeys("comfreysail-members").size() == 2; }, 5s));
    for (int crashes = 0; crashes < 3; ++crashes) {
        LookupCallers const callers(first, 10);
        REQUIRE(eventually([&] { return crashWorkingTarget(); }));
        std::this_thread::sleep_for(300ms);
        restartTargets();
        std::this_thread::sleep_for(1s);
    }
    std::this_thread::sleep_for(3s);
    for (int count = 0; count < 5; ++count)
        CHECK(call("GET", lookup).status() == 200);
    killDaemons();
    startNamed("entry-1");
    for (int count = 0; count < 5; ++count)
        CHECK(call("GET", lookup).status() == 200);
}

// The counterpart: a request that does crash each target that runs it crashes no fourth one, neither before nor after
// all daemons have restarted.
TEST_CASE_METHOD(CrashFixture, "Entry_RequestThatCrashesTargets_StaysRefusedAfterARestartOfAllDaemons")
{
    StopAtScopeEnd const stop(*this);
    addTargets(6, 0ms);
    auto& first = startNamed("entry-1");
    startNamed("entry-2", { first.controlPort() });
    CHECK(crashTargetsUntilRefused("/read/poison") == 3);
    REQUIRE(eventually([&] { return storeKeys(crashTable).size() == 3; }));
    restartTargets();
    auto const before = runs();
    for (int restart = 0; restart < 2; ++restart) {
        killDaemons();
        auto& reader = startNamed("entry-1");
        auto& follower = startNamed("entry-2", { reader.controlPort() });
        for (auto const* const daemon : { &reader, &follower }) {
            auto connection = daemon->connect();
            connection.send(requestText("GET", "/read/poison", "r" + std::to_string(restart)));
            auto const response = connection.readResponse();
            CHECK(response.status() == 503);
            CHECK(response.field("Comfreysail-Error") == "request_quarantined");
        }
    }
    CHECK(runs() == before);
    CHECK(call("GET", lookup).status() == 200);
}

// Reports count for ten minutes from the crash, not from the start of a daemon that reads them, and are removed then.
TEST_CASE_METHOD(CrashFixture, "Entry_ReportsFromBeforeTheStart_CountFromTheirOwnTime")
{
    StopAtScopeEnd const stop(*this);
    addTargets(2, 0ms);
    SECTION("they have expired")
    {
        reportThreeCrashes(Retry::crashRowValue(storeNow() - 11min));
        startNamed("entry-1");
        CHECK(call("GET", lookup).status() == 200);
        CHECK(eventually([&] { return storeKeys(crashTable).empty(); }, 6s));
    }
    SECTION("they are recent")
    {
        reportThreeCrashes(Retry::crashRowValue(storeNow() - 9min));
        startNamed("entry-1");
        CHECK(call("GET", lookup).status() == 503);
        CHECK(runs() == 0);
    }
    SECTION("they do not say when, as those of older builds")
    {
        reportThreeCrashes("");
        startNamed("entry-1");
        CHECK(call("GET", lookup).status() == 200);
    }
}

// A daemon that gets its rows from another one, and does not reach the store, dates reports by the time of the store
// too.
TEST_CASE_METHOD(CrashFixture, "Entry_ReportsFromAnotherDaemon_CountFromTheirOwnTime")
{
    StopAtScopeEnd const stop(*this);
    addTargets(2, 0ms);
    bool const isRecent = GENERATE(false, true);
    CAPTURE(isRecent);
    reportThreeCrashes(Retry::crashRowValue(storeNow() - (isRecent ? 1min : 11min)));
    auto& reader = startNamed("entry-1");
    DaemonOptions options;
    options.vmName = "entry-2";
    options.platformPort = 9; // Nothing listens there.
    options.seedPorts = { reader.controlPort() };
    auto const& follower = startDaemon(options);
    auto connection = follower.connect();
    connection.send(requestText("GET", lookup, "f1"));
    CHECK(connection.readResponse().status() == (isRecent ? 503 : 200));
}

// Guards against crashes that no other daemon hears of, and none after a restart, because the store was down when they
// happened.
TEST_CASE_METHOD(CrashFixture, "Entry_CrashesWhileTheStoreIsDown_AreReportedWhenItIsBack")
{
    StopAtScopeEnd const stop(*this);
    addTargets(6, 0ms);
    startNamed("entry-1");
    setFaults(R"({"mode":"busy"})");
    CHECK(crashTargetsUntilRefused("/read/poison") == 3);
    setFaults(R"({"mode":"up"})");
    CHECK(eventually([&] { return storeKeys(crashTable).size() == 3; }, 12s));
}

// Guards against a lookup that is refused because a zone has failed with several targets that ran it at the same
// moment: it is answered by the others.
TEST_CASE_METHOD(CrashFixture, "Entry_LookupOnThreeTargetsThatCrashTogether_IsServed")
{
    StopAtScopeEnd const stop(*this);
    addTargets(5, 250ms);
    auto& daemon = startNamed("entry-1");
    {
        LookupCallers const callers(daemon, 10);
        std::this_thread::sleep_for(500ms);
        for (int crashes = 0; crashes < 3; ++crashes)
            REQUIRE(eventually([&] { return crashWorkingTarget(); }, 1s));
        std::this_thread::sleep_for(1s);
    }
    CHECK(call("GET", lookup).status() == 200);
}

// Guards against a request that crashes every target which runs it, because the crashes come after the target has begun
// to respond: only a connection that was lost before a response counted. A response of 2 MB is passed on before it is
// complete, and what was passed on must not count as an answer.
TEST_CASE_METHOD(CrashFixture, "Entry_RequestThatCrashesTargetsWhileTheyRespond_IsRefused")
{
    StopAtScopeEnd const stop(*this);
    m_poisonBodyBytes = GENERATE(2'000, 2'000'000);
    CAPTURE(m_poisonBodyBytes);
    addTargets(6, 0ms);
    startNamed("entry-1");
    std::string const path = "/read/poison-while-responding";
    // The third crash may be found during the second send of a request.
    CHECK(crashTargetsUntilRefused(path) <= 4);
    CHECK(eventually([&] { return storeKeys(crashTable).size() >= 3; }));
    restartTargets();
    auto const before = runs();
    CHECK(call("GET", path).field("Comfreysail-Error") == "request_quarantined");
    CHECK(runs() == before);
    CHECK(call("GET", lookup).status() == 200);
}

// Guards against a lookup that is refused for ten minutes although no target has crashed: targets that were full reset
// its connections and the health probes that followed, which were taken for crashes.
TEST_CASE_METHOD(CrashFixture, "Entry_FullTargetsResetALookupAndTheProbes_LookupIsServedAfterwards")
{
    StopAtScopeEnd const stop(*this);
    std::atomic<bool> areFull { false };
    // An instance responds to the probe before the send, which shows room, and is full at the send.
    auto const respond = [&](RawConnection& connection, std::string const& head) {
        if (!areFull || !head.starts_with("GET " + lookup + " "))
            return connection.send(signedResponse(head, "whole"));
        connection.reset();
        return false;
    };
    for (auto const* const id : { "t1", "t2", "t3", "t4" }) {
        auto& target = addTarget(id, respond);
        // The service does not report load, so its health path is full like any other.
        target.loadScript = [&areFull, &target](RawConnection& connection, std::string const&) {
            if (!areFull)
                return connection.send(wholeResponse("", "X-Comfreysail-Instance-Id: " + target.id + "\r\n"));
            connection.reset();
            return false;
        };
    }
    startNamed("entry-1");
    CHECK(call("GET", lookup).status() == 200);
    areFull = true;
    for (int count = 0; count < 6; ++count) {
        call("GET", lookup);
        std::this_thread::sleep_for(400ms);
    }
    areFull = false;
    CHECK(eventually([&] { return call("GET", "/read/other").status() == 200; }));
    CHECK(eventually([&] { return call("GET", lookup).status() == 200; }));
    CHECK(storeKeys(crashTable).empty());
}
