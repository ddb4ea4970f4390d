#include "EntryFixture.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

using namespace Comfreysail::Tests;
using namespace std::chrono_literals;

namespace {

bool respondComplete(RawConnection& connection, std::string const& head)
{
    return connection.send(signedResponse(head, "whole"));
}

struct ConnectionsFixture : EntryFixture {
    /// Value of a metric of the daemon, 0 if it does not exist yet.
    double metric(std::string const& series)
    {
        auto const metrics = daemon().admin("/metrics").body;
        auto const begin = metrics.find("\n" + series + " ");
        return begin == std::string::npos ? 0 : std::stod(metrics.substr(begin + 1 + series.size()));
    }
    double probeConnections() { return metric("comfreysail_target_connections_total{purpose=\"probe\"}"); }
};

}

/// A service of 24 targets, and the number of those that a batch of requests probes: three probes for each of 30
/// requests reach 18 nearly always; the subset has at most 12 targets at this rate.
struct SubsetFixture : ConnectionsFixture {
    static constexpr unsigned targetCount = 24;
    static constexpr unsigned requests = 30;
    static constexpr unsigned minOfAll = 18;

    SubsetFixture()
    {
        for (unsigned index = 0; index < targetCount; ++index) {
            auto& target = addTarget("t" + std::to_string(index), respondComplete);
            target.loadScript = [&target, &count = m_probes.at(index)](RawConnection& connection, std::string const&) {
                ++count;
                return connection.send(target.loadResponse());
            };
        }
    }

    void waitForManyMembers()
    {
        for (unsigned index = 0; index < 130; ++index)
            writeMember("vm-" + std::to_string(index), "127.0.0.1:1 2");
        REQUIRE(eventually([this] { return metric("comfreysail_members") > 64; }, 10s));
    }

    unsigned probedTargets()
    {
        for (auto& count : m_probes)
            count = 0;
        for (unsigned index = 0; index < requests; ++index)
            CHECK(call("GET", "/read/" + std::to_string(index)).body == "whole");
        return static_cast<unsigned>(std::ranges::count_if(m_probes, [](auto const& count) { return count > 0; }));
    }

private:
    std::array<std::atomic<unsigned>, targetCount> m_probes {};
};

// With many daemons each of them prefers a stable subset of the targets, if the settings file asks for it. Guards
// against a setting that has no effect, and against a subset with few daemons.
TEST_CASE_METHOD(SubsetFixture, "Entry_ManyMembers_ProbesAStableSubsetUntilTurnedOff")
{
    StopAtScopeEnd const stop(*this);
    startDaemon({ .limits = "[connections]\nsubset = true\n" });
    CHECK(probedTargets() >= minOfAll);
    waitForManyMembers();
    CHECK(probedTargets() < minOfAll);
    daemon().replaceInSettings("subset = true", "subset = false");
    daemon().hangUp();
    REQUIRE(eventually([&] { return daemon().log().find("event=settings_file_read") != std::string::npos; }));
    CHECK(probedTargets() >= minOfAll);
}

// Guards against a subset in a deployment whose settings did not ask for one.
TEST_CASE_METHOD(SubsetFixture, "Entry_ManyMembersWithoutTheSetting_ProbesAllTargets")
{
    StopAtScopeEnd const stop(*this);
    startDaemon();
    waitForManyMembers();
    CHECK(probedTargets() >= minOfAll);
}

// Guards against load probes on connections that the target closes just then, because it announced a short idle
// timeout, and against connections that are not counted.
TEST_CASE_METHOD(ConnectionsFixture, "Entry_TargetAnnouncesAnIdleTimeout_ProbesOpenAConnectionAfterIt")
{
    std::atomic<bool> announcesTimeout { false };
    auto& target = addTarget("t1", respondComplete);
    std::string const field = "Keep-Alive: timeout=1\r\n";
    target.loadScript = [&](RawConnection& connection, std::string const&) {
        auto response = target.loadResponse();
        if (announcesTimeout)
            response.insert(response.find("\r\n") + 2, field);
        return connection.send(response);
    };
    target.script = [&](RawConnection& connection, std::string const& head) {
        auto response = signedResponse(head, "whole");
        if (announcesTimeout)
            response.insert(response.find("\r\n") + 2, field);
        return connection.send(response);
    };
    StopAtScopeEnd const stop(*this);
    startDaemon();
    CHECK(call("GET", "/read/1").body == "whole");
    CHECK(probeConnections() == 1);
    std::this_thread::sleep_for(1100ms);
    CHECK(call("GET", "/read/2").body == "whole");
    CHECK(probeConnections() == 1);
    announcesTimeout = true;
    CHECK(call("GET", "/read/3").body == "whole");
    CHECK(probeConnections() == 1);
    std::this_thread::sleep_for(1100ms);
    CHECK(call("GET", "/read/4").body == "whole");
    CHECK(probeConnections() == 2);
}
