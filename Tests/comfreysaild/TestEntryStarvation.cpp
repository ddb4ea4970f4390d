#include "EntryFixture.h"

#include <catch2/catch.hpp>
#include <condition_variable>
#include <mutex>
#include <thread>

using namespace Comfreysail::Tests;
using namespace std::chrono_literals;

namespace {

/// One target, and a daemon that is paused while its first load probe is under way.
class StarvedDaemonFixture : public EntryFixture {
public:
    /// The target pauses the daemon for `pause` when the first probe has arrived. It responds during the pause, or
    /// `responseDelay` after it.
    void start(std::chrono::milliseconds pause, std::optional<std::chrono::milliseconds> responseDelay)
    {
        auto& target = addTarget("t1", [](RawConnection& connection, std::string const& head) {
            return connection.send(signedResponse(head, "whole"));
        });
        target.loadScript = [this, &target, pause, responseDelay](RawConnection& connection, std::string const&) {
            bool const pauses = m_probes++ == 0;
            if (pauses && !responseDelay)
                return pauseDaemon(pause, [&] { return connection.send(target.loadResponse()); });
            if (pauses) {
                pauseDaemon(pause, [] { return true; });
                std::this_thread::sleep_for(*responseDelay);
            }
            return connection.send(target.loadResponse());
        };
        m_target = &target;
        startDaemon();
    }

    unsigned runs() const { return m_target->runs; }

private:
    bool pauseDaemon(std::chrono::milliseconds pause, std::function<bool()> const& action)
    {
        daemon().stop();
        bool const result = action();
        std::this_thread::sleep_for(pause);
        daemon().resume();
        return result;
    }

    EntryTarget* m_target { nullptr };
    std::atomic<unsigned> m_probes { 0 };
};

}

// Guards against taking a working target for unreachable, and refusing all requests while it is ejected, because the
// daemon got no processor time during a load probe: its timer expired before it had run for as long as a target may
// take.
TEST_CASE_METHOD(StarvedDaemonFixture, "EntryStarvation_ProbeTimerExpiresInAPause_TargetStaysInUse")
{
    auto const [method, path]
        = GENERATE(table<std::string, std::string>({ { "GET", "/read/1" }, { "POST", "/pay/1" } }));
    CAPTURE(method);
    StopAtScopeEnd const stop(*this);
    start(300ms, 60ms);
    CHECK(call(method, path).status() == 200);
    CHECK(call(method, path).status() == 200);
    CHECK(runs() == 2);
}

// Guards against refusing a request whose only target is free, because its load report arrived during a pause of the
// daemon and was outdated afterwards.
TEST_CASE_METHOD(StarvedDaemonFixture, "EntryStarvation_LoadResponseArrivesInAPause_TargetIsProbedAgain")
{
    auto const [method, path]
        = GENERATE(table<std::string, std::string>({ { "GET", "/read/1" }, { "POST", "/pay/1" } }));
    CAPTURE(method);
    StopAtScopeEnd const stop(*this);
    start(600ms, std::nullopt);
    CHECK(call(method, path).status() == 200);
    CHECK(call(method, path).status() == 200);
    CHECK(runs() == 2);
}

// The counterpart: a target that accepts connections and never responds is given up, and the request is refused before
// its deadline of a second.
TEST_CASE_METHOD(EntryFixture, "EntryStarvation_TargetIsSilentWithoutAPause_IsLeft")
{
    auto& target = addTarget("t1", [](RawConnection&, std::string const&) { return false; });
    target.loadScript = [](RawConnection& connection, std::string const&) {
        connection.waitForEnd(2s);
        return false;
    };
    StopAtScopeEnd const stop(*this);
    startDaemon();
    CHECK(call("GET", "/read/1").field("Comfreysail-Error") == "no_target_available");
    // The next request is refused at once.
    CHECK(call("GET", "/read/1").field("Comfreysail-Error") == "no_target_available");
    CHECK(target.server->requests() == 1);
    CHECK(target.runs == 0);
}

// Guards against refusing a request, and all others while the target is ejected, because the only target got no
// processor time and responded to the first load probe after its limit of 250 ms.
TEST_CASE_METHOD(EntryFixture, "EntryStarvation_OnlyTargetRespondsLate_RequestWaitsForIt")
{
    auto const [method, path]
        = GENERATE(table<std::string, std::string>({ { "GET", "/read/1" }, { "POST", "/pay/1" } }));
    CAPTURE(method);
    auto& target = addTarget("t1", [](RawConnection& connection, std::string const& head) {
        return connection.send(signedResponse(head, "whole"));
    });
    target.loadDelayMilliseconds = 400;
    StopAtScopeEnd const stop(*this);
    startDaemon();
    CHECK(call(method, path).status() == 200);
    target.loadDelayMilliseconds = 0;
    CHECK(call(method, path).status() == 200);
    CHECK(target.runs == 2);
}

// Guards against refusing requests whose only target is free again, because its load responses are late and arrive
// together: the first request takes the room that they show, and the others ask again. The wait for late responses
// counted as a round of probes of its own, so that the target was asked three times instead of five.
TEST_CASE_METHOD(EntryFixture, "EntryStarvation_LateLoadResponsesArriveTogether_AllLookupsAreServed")
{
    constexpr unsigned requests = 5; // Five rounds of probes are allowed.
    auto& target = addTarget("t1", [](RawConnection& connection, std::string const& head) {
        return connection.send(signedResponse(head, requestIdOf(head)));
    });
    target.load = "0,0,1,100";
    std::mutex mutex;
    std::condition_variable isSending;
    unsigned wave = 0;
    bool hasLeader = false;
    // The first probe of each wave pauses the daemon after a round of probes (40 ms). The responses to all of them are
    // sent during the pause.
    target.loadScript = [&](RawConnection& connection, std::string const&) {
        std::unique_lock lock(mutex);
        auto const ownWave = wave;
        if (std::exchange(hasLeader, true)) {
            isSending.wait_for(lock, 1s, [&] { return wave != ownWave; });
            return connection.send(target.loadResponse());
        }
        lock.unlock();
        std::this_thread::sleep_for(100ms);
        daemon().stop();
        lock.lock();
        ++wave;
        hasLeader = false;
        lock.unlock();
        isSending.notify_all();
        bool const isSent = connection.send(target.loadResponse());
        std::this_thread::sleep_for(20ms);
        daemon().resume();
        return isSent;
    };
    StopAtScopeEnd const stop(*this);
    startDaemon();
    auto connection = daemon().connect();
    std::string text;
    for (unsigned index = 0; index < requests; ++index)
        text += requestText("GET", "/read/1", "a" + std::to_string(index));
    connection.send(text);
    for (unsigned index = 0; index < requests; ++index) {
        auto const response = connection.readResponse();
        CAPTURE(response.body);
        CHECK(response.status() == 200);
    }
    CHECK(target.runs == requests);
}

// Guards against refusing a late retry although the other target is idle: a late request leaves the last free slots to
// others, and the target that had refused it counted as one without room.
TEST_CASE_METHOD(EntryFixture, "EntryStarvation_TargetRefusesLate_RetryUsesTheIdleOne")
{
    auto const [method, path]
        = GENERATE(table<std::string, std::string>({ { "GET", "/read/1" }, { "POST", "/pay/1" } }));
    CAPTURE(method);
    auto& refusing = addTarget("t1", [](RawConnection& connection, std::string const& head) {
        std::this_thread::sleep_for(350ms); // Above the latency target of 300 ms.
        return connection.send(wholeResponse("no",
            "X-Comfreysail-Request-Id: " + requestIdOf(head) + "\r\nX-Comfreysail-Not-Executed: 1\r\n",
            "503 Service Unavailable"));
    });
    auto& idle = addTarget("t2", [](RawConnection& connection, std::string const& head) {
        return connection.send(signedResponse(head, "whole"));
    });
    idle.load = "1,0,2,150"; // Makes the daemon choose the other one first.
    StopAtScopeEnd const stop(*this);
    startDaemon();
    CHECK(call(method, path).body == "whole");
    CHECK(refusing.runs == 1);
    CHECK(idle.runs == 1);
}

// Guards against holding a request for a silent target while another target is known to be full: it is refused as soon
// as the silent one is given up, and not after three quarters of its second.
TEST_CASE_METHOD(EntryFixture, "EntryStarvation_OneTargetIsSilentAndTheOtherFull_RequestIsNotHeld")
{
    auto const refuse = [](RawConnection&, std::string const&) { return false; };
    auto& silent = addTarget("t1", refuse);
    silent.loadScript = [](RawConnection& connection, std::string const&) {
        connection.waitForEnd(2s);
        return false;
    };
    auto& full = addTarget("t2", refuse);
    full.load = "2,4,2,100";
    StopAtScopeEnd const stop(*this);
    startDaemon();
    auto const begin = std::chrono::steady_clock::now();
    CHECK(call("GET", "/read/1").field("Comfreysail-Error") == "no_target_available");
    CHECK(std::chrono::steady_clock::now() - begin < 700ms);
    CHECK(silent.runs + full.runs == 0);
}
