#include <Support/DaemonProcess.h>
#include <catch2/catch.hpp>

using namespace Comfreysail::Tests;
using namespace std::chrono_literals;

namespace {

/// Waits up to 2 s until the daemon has counted a request without an error, which it does shortly after the response.
bool hasAnswered(DaemonProcess const& daemon)
{
    auto const deadline = std::chrono::steady_clock::now() + 2s;
    while (std::chrono::steady_clock::now() < deadline) {
        if (daemon.admin("/metrics").body.find("comfreysail_requests_total{error=\"none\"} 1") != std::string::npos)
            return true;
        std::this_thread::sleep_for(10ms);
    }
    return false;
}

/// Waits up to 10 s until the daemon knows this many of the members entry-1 and entry-2.
bool knowsMembers(DaemonProcess const& daemon, size_t count)
{
    auto const deadline = std::chrono::steady_clock::now() + 10s;
    while (std::chrono::steady_clock::now() < deadline) {
        auto const status = daemon.admin("/status").body;
        auto const members = status.substr(status.find("\"members\""), status.find("\"groups\""));
        size_t found = 0;
        for (auto const* name : { "\"entry-1\"", "\"entry-2\"" })
            found += members.find(name) != std::string::npos ? 1 : 0;
        if (found == count)
            return true;
        std::this_thread::sleep_for(20ms);
    }
    return false;
}

}

TEST_CASE("HomeHop_HomeGone_IsServedLocally", "[HomeHop]")
{
    ScriptedTarget target([](RawConnection& connection, std::string const&) {
        connection.send(wholeResponse("whole", "Comfreysail-Load: in_flight=0;limit=2;state=serving\r\n"));
        return true;
    });
    std::vector<TargetEntry> const targets { { target.port(), 2, "arima" } };
    DaemonProcess home({ .targets = targets, .vmName = "entry-2", .availabilityZone = "arima" });
    DaemonProcess const entry({ .targets = targets, .seedPorts = { home.controlPort() } });
    REQUIRE(knowsMembers(entry, 2));
    auto const first = entry.call(request("GET", "/orders/1", "Comfreysail-Timeout-Ms: 10000\r\n"));
    CHECK(first.body == "whole");
    CHECK(hasAnswered(home));
    // Headers between daemons must not reach the caller or the target.
    CHECK(first.field("Comfreysail-Target").empty());
    CHECK(first.field("Comfreysail-Load").empty());
    CHECK(target.heads().at(0).find("Comfreysail-Hops") == std::string::npos);

    home.kill();
    // The entry daemon does not know yet; the refused connection must not reach the caller as an error.
    auto const second = entry.call(request("GET", "/orders/2", "Comfreysail-Timeout-Ms: 10000\r\n"));
    CHECK(second.status() == 200);
    CHECK(second.body == "whole");
}
