#include "EntryFixture.h"

#include <catch2/catch.hpp>
#include <unistd.h>

using namespace Comfreysail::Tests;
using namespace std::chrono_literals;

namespace {

std::string addedRoute(std::string const& pathPrefix)
{
    return R"(,{"name":"added","host":"orders.test","prefix":")" + pathPrefix
        + R"(","kind":"safe","timeout-s":1,"target-latency-s":0.3,"priority":1,"service":"orders","max-attempts":2})";
}

std::string manyRoutes()
{
    std::string routes;
    for (unsigned number = 0; number < 1700; ++number)
        routes += "," + routeText("r" + std::to_string(number), "/" + std::to_string(number * 7919) + "/", "safe");
    return routes;
}

/// A daemon that cannot reach the store and gets its rows from the daemon at this port.
DaemonOptions followerOf(uint16_t controlPort)
{
    DaemonOptions options;
    options.vmName = "entry-2";
    options.platformPort = 9; // Nothing listens there.
    options.seedPorts = { controlPort };
    return options;
}

bool respondComplete(RawConnection& connection, std::string const& head)
{
    connection.send(signedResponse(head, "whole"));
    return true;
}

}

TEST_CASE_METHOD(EntryFixture, "Entry_UnknownRoute_IsNotFoundAndAnAddedOneIsServedWithinTwoSeconds")
{
    addTarget("t1", respondComplete);
    startDaemon();
    CHECK(call("GET", "/new/1").status() == 404);
    writePlan(
        5, R"(,{"name":"new","host":"orders.test","prefix":"/new/","kind":"safe","timeout-s":1,"service":"orders"})");
    CHECK(eventually([&] { return call("GET", "/new/1").status() == 200; }, 2s));
}

// Guards against 404 for routes that a daemon without settings merely does not know yet.
TEST_CASE_METHOD(EntryFixture, "Entry_WithoutSettings_AnswersUnavailableAndIsNotReady")
{
    setFaults(R"({"mode":"busy"})");
    DaemonOptions options;
    options.waitsUntilReady = false;
    startDaemon(options);
    CHECK(call("GET", "/read/1").status() == 503);
    CHECK(daemon().admin("/ready").status() == 503);
    addTarget("t1", respondComplete);
    setFaults(R"({"mode":"up"})");
    CHECK(eventually([&] { return daemon().admin("/ready").status() == 200; }));
}

// Guards against losing the settings in force to an operators' row that is invalid or older.
TEST_CASE_METHOD(EntryFixture, "Entry_InvalidOrOlderSettings_AreIgnored")
{
    addTarget("t1", respondComplete);
    writePlan(7);
    startDaemon();
    auto const row = GENERATE(std::string("{"), std::string(R"({"version":8,"routes":{}})"),
        std::string(R"({"version":6,"routes":[],"services":[]})"));
    writeOperatorRow("config", row);
    std::this_thread::sleep_for(1500ms);
    CHECK(call("GET", "/read/1").status() == 200);
}

TEST_CASE_METHOD(EntryFixture, "Entry_TargetDrainsOrIsRemovedOrItsZoneIsEvacuated_GetsNoRequestsAfterTwoSeconds")
{
    auto& target = addTarget("t1", respondComplete);
    startDaemon();
    CHECK(call("GET", "/read/1").status() == 200);
    SECTION("draining") { registerTarget(target, "draining"); }
    SECTION("gone") { removeTarget("t1"); }
    SECTION("zone out") { writeOperatorRow("evacuate/pos-hall", "{}"); }
    std::this_thread::sleep_for(1900ms);
    target.runs = 0;
    CHECK(call("GET", "/read/1").status() == 503);
    CHECK(target.runs == 0);
}

// Guards against a heartbeat that the store applies late, after the target has begun to drain or has left: it would be
// ready again for all daemons until its next report.
TEST_CASE_METHOD(EntryFixture, "Entry_HeartbeatIsAppliedAfterTheTargetLeft_TargetGetsNothingUntilItRestarts")
{
    bool const drains = GENERATE(true, false);
    CAPTURE(drains);
    auto& leaving = addTarget("t1", respondComplete);
    auto& other = addTarget("t2", respondComplete);
    other.load = "1,0,16,200"; // Makes the daemon choose the other one while it may.
    registerTarget(leaving, "ready", "v1", 5);
    StopAtScopeEnd const stop(*this);
    startDaemon();
    auto const isUsed = [&] {
        auto const runs = leaving.runs.load();
        CHECK(call("GET", "/read/1").status() == 200);
        return leaving.runs > runs;
    };
    CHECK(isUsed());
    if (drains)
        registerTarget(leaving, "draining", "v1", 6);
    else
        removeTarget("t1");
    REQUIRE(eventually([&] { return !isUsed(); }));
    registerTarget(leaving, "ready", "v1", 4);
    CHECK_FALSE(eventually(isUsed, 2s));
    CHECK(daemon().log().find("event=target_report_outdated target=t1 source=store started_at=1 sequence=4")
        != std::string::npos);
    registerTarget(leaving, "ready", "v1", 1, 2);
    CHECK(eventually(isUsed));
}

// Guards against a restarted daemon that believes what a late write has left in the store, and hands it on: the daemons
// that ran meanwhile know newer reports.
TEST_CASE_METHOD(EntryFixture, "Entry_DaemonRestartsWhileAnOlderReportIsInTheStore_AllKeepTheNewerOne")
{
    auto& moving = addTarget("t1", respondComplete);
    auto& other = addTarget("t2", respondComplete);
    other.load = "1,0,16,200"; // Makes the daemons choose the other one while they may.
    auto const report = [&](std::string const& zone, int sequence) {
        writeRegistryRow("t1",
            R"({"service":"orders","addr":"127.0.0.1:)" + std::to_string(moving.server->port()) + R"(","zone":")" + zone
                + R"(","version":"v1","slots":2,"state":"ready","sequence":)" + std::to_string(sequence)
                + R"(,"born":1})");
    };
    writeOperatorRow("evacuate/arima", "{}");
    report("pos-hall", 5);
    StopAtScopeEnd const stop(*this);
    auto& remaining = startDaemon();
    DaemonOptions options;
    options.vmName = "entry-2";
    options.seedPorts = { remaining.controlPort() };
    options.isSeed = GENERATE(false, true);
    CAPTURE(options.isSeed);
    auto* restarting = &startDaemon(options);
    auto const isUsedBy = [&](DaemonProcess& daemon) {
        auto const runs = moving.runs.load();
        CHECK(daemon.call(requestText("GET", "/read/1", "a")).status() == 200);
        return moving.runs > runs;
    };
    CHECK(isUsedBy(remaining));
    CHECK(isUsedBy(*restarting));
    report("arima", 6);
    REQUIRE(eventually([&] { return !isUsedBy(remaining) && !isUsedBy(*restarting); }));
    restarting->kill();
    report("pos-hall", 4);
    restarting = &startDaemon(options);
    CHECK_FALSE(eventually([&] { return isUsedBy(remaining) || isUsedBy(*restarting); }, 3s));
    report("pos-hall", 7);
    CHECK(eventually([&] { return isUsedBy(remaining) && isUsedBy(*restarting); }));
}

TEST_CASE_METHOD(EntryFixture, "Entry_ZoneEvacuationIsCancelled_ServesAgain")
{
    addTarget("t1", respondComplete);
    writeOperatorRow("evacuate/pos-hall", "{}");
    startDaemon();
    CHECK(call("GET", "/read/1").status() == 503);
    removeOperatorRow("evacuate/pos-hall");
    CHECK(eventually([&] { return call("GET", "/read/1").status() == 200; }, 2s));
}

TEST_CASE_METHOD(EntryFixture, "Entry_StoreIsDown_ServesWithTheLastKnownState")
{
    auto const mode = GENERATE(std::string("down"), std::string("hang"), std::string("busy"), std::string("too_many"));
    CAPTURE(mode);
    addTarget("t1", respondComplete);
    startDaemon();
    setFaults(R"({"mode":")" + mode + "\"}");
    std::this_thread::sleep_for(3s);
    CHECK(call("GET", "/read/1").status() == 200);
    CHECK(daemon().admin("/ready").status() == 200);
}

// Registrations expire while the store is unavailable and are renewed within 2 s of its return. Guards against dropping
// the targets in between, also on daemons that get the rows from others: these once counted stale responses as reads of
// the registry, and so did not notice the gap.
TEST_CASE_METHOD(EntryFixture, "Entry_RegistrationsExpireWhileTheStoreIsUnavailable_TargetsStayInUse")
{
    addTarget("t1", respondComplete);
    startDaemon();
    DaemonOptions options;
    options.vmName = "entry-2";
    auto& second = startDaemon(options);
    std::this_thread::sleep_for(5s); // Until both daemons are members and know each other.
    setFaults(R"({"mode":"busy"})");
    std::this_thread::sleep_for(4s);
    removeTarget("t1");
    setFaults(R"({"mode":"up"})");
    for (int count = 0; count < 12; ++count) {
        CHECK(call("GET", "/read/1").status() == 200);
        auto connection = second.connect();
        connection.send(requestText("GET", "/read/1", "b" + std::to_string(count)));
        CHECK(connection.readResponse().status() == 200);
        std::this_thread::sleep_for(100ms);
    }
}

// The store may refuse some VMs and serve others. Guards against missed changes on the refused ones, which have to get
// the rows from other daemons.
TEST_CASE_METHOD(EntryFixture, "Entry_DaemonRefusedByTheStore_GetsChangesFromAnother")
{
    addTarget("t1", respondComplete);
    auto& first = startDaemon();
    auto& second = startDaemon(followerOf(first.controlPort()));
    writePlan(
        5, R"(,{"name":"new","host":"orders.test","prefix":"/new/","kind":"safe","timeout-s":1,"service":"orders"})");
    CHECK(eventually(
        [&] {
            auto connection = second.connect();
            connection.send(requestText("GET", "/new/1", "a1"));
            return connection.readResponse().status() == 200;
        },
        2s));
}

// The platform changes the settings file with or without a signal. Guards against missed changes, and against an
// invalid file that stops the daemon.
TEST_CASE_METHOD(EntryFixture, "Entry_SettingsFileChanges_IsReloadedOrRefusedWithItsFaults")
{
    addTarget("t1", respondComplete);
    auto& daemon = startDaemon();
    auto const logs = [&](std::string const& event) {
        return eventually([&] { return daemon.log().find("event=" + event) != std::string::npos; });
    };
    SECTION("with a signal")
    {
        daemon.replaceInSettings("grace_seconds = \"6\"", "grace_seconds = \"5\"");
        daemon.hangUp();
        CHECK(logs("settings_file_read"));
    }
    SECTION("without a signal")
    {
        std::this_thread::sleep_for(1200ms);
        daemon.replaceInSettings("grace_seconds = \"6\"", "grace_seconds = \"5\"");
        CHECK(logs("settings_file_read"));
    }
    SECTION("faulty")
    {
        daemon.replaceInSettings("grace_seconds = \"6\"", "grace_seconds = \"long\"\nunknown_key = 1");
        daemon.hangUp();
        CHECK(logs("settings_file_refused"));
        CHECK(daemon.log().find("unknown_key") != std::string::npos);
    }
    CHECK(call("GET", "/read/1").status() == 200);
}

// A VM that is cut off from all other VMs still reaches the store, so changes have to be in force on it within 2 s too.
// Guards against losing that time to the unresponsive daemons that precede it in the tree.
TEST_CASE_METHOD(EntryFixture, "Entry_OtherDaemonsAreUnresponsive_EachChangeIsInForceWithinTwoSeconds")
{
    addTarget("t1", respondComplete);
    auto const silent = listenOnFreePort();
    for (auto const* name : { "vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6" })
        writeMember(name, "127.0.0.1:" + std::to_string(silent.port) + " 2");
    startDaemon();
    for (int version = 2; version < 6; ++version) {
        auto const path = "/added" + std::to_string(version) + "/";
        writePlan(version, addedRoute(path));
        CAPTURE(version);
        CHECK(eventually([&] { return call("GET", path + "x").status() == 200; }, 2s));
        // Unresponsive daemons are polled again after some seconds. The pause makes some changes coincide with that.
        std::this_thread::sleep_for(700ms);
    }
    ::close(silent.descriptor);
}

// The store may refuse exactly the daemons that read it for the others. These still respond, but with stale rows.
// Guards against waiting at each of them: the other daemons have to read the store before a change is overdue (2 s).
TEST_CASE_METHOD(EntryFixture, "Entry_OtherDaemonsHaveStaleRows_EachChangeIsInForceWithinTwoSeconds")
{
    addTarget("t1", respondComplete);
    ScriptedTarget const stale([](RawConnection& connection, std::string const& head) {
        auto const wait = head.find("wait_ms=");
        if (wait != std::string::npos)
            std::this_thread::sleep_for(std::chrono::milliseconds(std::stoi(head.substr(wait + 8))));
        connection.send(
            wholeResponse(R"({"age_ms":5000,"revisions":{},"digests":{},"complete":[],"rows":[],"verdicts":{}})"));
        return true;
    });
    for (auto const* name : { "vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6" })
        writeMember(name, "127.0.0.1:" + std::to_string(stale.port()) + " 2");
    startDaemon();
    for (int version = 2; version < 6; ++version) {
        auto const path = "/added" + std::to_string(version) + "/";
        writePlan(version, addedRoute(path));
        CAPTURE(version);
        CHECK(eventually([&] { return call("GET", path + "x").status() == 200; }, 2s));
        std::this_thread::sleep_for(700ms);
    }
    CHECK(stale.requests() > 0);
    // The fake daemon stops only after its connections are closed.
    daemon().kill();
}

// A source that does not hold requests back until there is a change, for whatever reason, must not make all daemons
// poll without a pause. Control traffic of a daemon may take 29 kB/s (docs/design.md, 1.5).
TEST_CASE_METHOD(EntryFixture, "Entry_SourceRespondsAtOnce_ControlTrafficStaysWithinItsLimit")
{
    constexpr size_t maxBytesPerSecond = 29'000;
    std::atomic<size_t> bytes { 0 };
    addTarget("t1", respondComplete);
    ScriptedTarget const source([&bytes](RawConnection& connection, std::string const& head) {
        auto const response = wholeResponse(
            R"({"age_ms":0,"revisions":{"op":999999,"servers":999999},"digests":{},"complete":[],"rows":[],"verdicts":{}})");
        bytes += head.size() + response.size();
        return connection.send(response);
    });
    StopAtScopeEnd const stop(*this);
    for (auto const* name : { "vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6" })
        writeMember(name, "127.0.0.1:" + std::to_string(source.port()) + " 2");
    startDaemon();
    // The daemon registers itself first, and reads the members again after 2 s.
    REQUIRE(eventually([&] { return bytes > 0; }, 8s));
    auto const before = bytes.load();
    std::this_thread::sleep_for(2s);
    CHECK(bytes - before < 2 * maxBytesPerSecond);
    CHECK(call("GET", "/read/1").status() == 200);
}

// When all daemons start at once, all request all rows from the seeds. With some thousand targets the responses
// together took more memory than the smallest VM has (160 MB).
TEST_CASE_METHOD(EntryFixture, "Entry_ManyDaemonsRequestAllRows_ResponsesFitIntoTheMemoryOfTheSmallestVm")
{
    addTarget("t1", respondComplete);
    std::string const large(60'000, 'x');
    for (int number = 0; number < 60; ++number)
        writeOperatorRow("evacuate/z" + std::to_string(number), large);
    startDaemon();
    std::vector<RawConnection> daemons;
    for (int number = 0; number < 40; ++number) {
        daemons.push_back(RawConnection::connectTo(daemon().controlPort()));
        daemons.back().send("GET /rows?name=vm HTTP/1.1\r\nHost: a\r\n\r\n");
    }
    // No response has been read yet, so all of them are in memory at the same time.
    std::this_thread::sleep_for(1s);
    CHECK(daemon().residentKilobytes() < 160 * 1024);
    unsigned answered = 0;
    for (auto& connection : daemons)
        answered += connection.readResponse().status() == 200 ? 1 : 0;
    CHECK(answered > 0);
    CHECK(call("GET", "/read/1").status() == 200);
}

// Guards against the first daemon of a new store that knows no members, not even itself, until it reads them again: it
// would take the limits that targets name for its own alone for as long as the store is down.
TEST_CASE_METHOD(EntryFixture, "Entry_StoreIsLostAfterTheFirstRegistration_MembersAreKnown")
{
    addTarget("t1", respondComplete);
    auto const& daemon = startDaemon();
    REQUIRE(eventually([this] { return !storeKeys("comfreysail-members").empty(); }));
    std::this_thread::sleep_for(500ms);
    setFaults(R"({"mode":"down"})");
    CHECK(eventually(
        [&daemon] { return daemon.admin("/metrics").body.find("\ncomfreysail_members 1\n") != std::string::npos; }));
}

// Guards against settings with many routes that take seconds to pass the levels of the relay tree over narrow links. A
// daemon of an older build, which does not ask for compressed rows, must still get them.
TEST_CASE_METHOD(EntryFixture, "Entry_SettingsWithManyRoutes_AreRelayedInAFractionOfTheirSize")
{
    addTarget("t1", respondComplete);
    auto routes = manyRoutes();
    writePlan(3, routes);
    auto const& source = startDaemon();
    auto const rowsOf = [&](std::string const& query) {
        auto connection = RawConnection::connectTo(source.controlPort());
        connection.send("GET /rows?name=vm" + query + " HTTP/1.1\r\nHost: a\r\n\r\n");
        return connection.readResponse().body;
    };
    auto const plain = rowsOf("");
    auto const compressed = rowsOf("&encoding=zstd");
    CHECK(plain.find("/" + std::to_string(1699 * 7919) + "/") != std::string::npos);
    CHECK(compressed.size() < plain.size() / 4);
    // The second daemon gets the settings only from the first one.
    setFaults(R"({"mode":"down"})");
    DaemonOptions options;
    options.seedPorts = { source.controlPort() };
    auto const& follower = startDaemon(options);
    auto connection = follower.connect();
    connection.send(requestText("GET", "/" + std::to_string(1699 * 7919) + "/", "id1"));
    CHECK(connection.readResponse().body == "whole");
    CHECK(follower.log().find("routes=1703") != std::string::npos);
}

// Guards against daemons that end, or stop following the registry, because of one odd entry of another writer.
TEST_CASE_METHOD(EntryFixture, "Entry_OddEntriesInTheRegistry_TheOthersAreFollowed")
{
    auto const entry = [](std::string const& field, std::string const& value) {
        std::string text
            = R"({"service":"orders","addr":"127.0.0.1:9","zone":"z","version":"v1","slots":2,"state":"ready","cold-left-s":0,"sequence":1,"born":1})";
        auto const begin = text.find("\"" + field + "\":") + field.size() + 3;
        return text.replace(begin, text.find_first_of(",}", begin) - begin, value);
    };
    std::vector<std::string> values { "", "null", "[]", "{", "\xff\xfe", std::string(30'000, '['),
        std::string(10'000, '[') + std::string(10'000, ']') };
    std::string nested;
    for (int depth = 0; depth < 5000; ++depth)
        nested += R"({"a":)";
    values.push_back(nested + "1" + std::string(5000, '}'));
    values.push_back(entry("slots", nested + "1" + std::string(5000, '}')));
    for (auto const* field : { "slots", "cold-left-s", "sequence", "born" }) {
        for (auto const* number : { "1e400", "-1e400", "1e308", "99999999999999999999999", "4294967296",
                 "9223372036854775807", "-9223372036854775808", "0.5", "-1", "true", "\"2\"" })
            values.push_back(entry(field, number));
    }
    for (auto const* address : { "127.0.0.1:65536", "127.0.0.1:0", "127.0.0.1:-1", "127.0.0.1:99999999999", "127.0.0.1",
             ":80", "", "no-address:80", "[::1", "127.0.0.1:8o" })
        values.push_back(entry("addr", "\"" + std::string(address) + "\""));
    addTarget("t1", respondComplete);
    auto& first = startDaemon();
    auto& second = startDaemon(followerOf(first.controlPort()));
    for (size_t index = 0; index < values.size(); ++index)
        writeRegistryRow("odd-" + std::to_string(index), values[index]);
    writeRegistryRow("odd\r\nX-Smuggled: 1\r\n", entry("slots", "2"));
    writeRegistryRow(std::string(200, 'k'), entry("zone", "[[]]"));
    auto& added = addTarget("t2", respondComplete);
    for (auto* const daemon : { &first, &second }) {
        auto const before = added.runs.load();
        CHECK(eventually([&] {
            auto connection = daemon->connect();
            connection.send(requestText("GET", "/read/1", "a1"));
            return connection.readResponse().status() == 200 && added.runs > before;
        }));
        CHECK(daemon->admin("/ready").status() == 200);
    }
}

// Guards against links that are full of settings of which hardly anything has changed.
TEST_CASE_METHOD(EntryFixture, "Entry_LargeSettingsChangeSlightly_OnlyTheDifferenceIsRelayed")
{
    addTarget("t1", respondComplete);
    auto const& reader = startDaemon();
    std::atomic<size_t> largest { 0 };
    std::atomic<bool> hasEnded { false };
    ScriptedTarget const link([&](RawConnection& connection, std::string const& head) {
        if (hasEnded)
            return false;
        auto upstream = RawConnection::connectTo(reader.controlPort());
        upstream.send(head);
        auto const response = wholeResponse(upstream.readResponse().body);
        largest = std::max(largest.load(), response.size());
        return connection.send(response);
    });
    StopAtScopeEnd const stop(*this);
    auto& follower = startDaemon(followerOf(link.port()));
    auto routes = manyRoutes();
    auto const isServed = [&](int version) {
        auto connection = follower.connect();
        connection.send(requestText("GET", "/added" + std::to_string(version) + "/1", "a1"));
        return connection.readResponse().status() == 200;
    };
    std::vector<size_t> sizes;
    for (int version = 5; version < 9; ++version) {
        largest = 0;
        routes += "," + routeText("added", "/added" + std::to_string(version) + "/", "safe");
        writePlan(version, routes);
        CHECK(eventually([&] { return isServed(version); }));
        sizes.push_back(largest);
    }
    CHECK(sizes[0] > 10'000);
    for (auto const size : { sizes[1], sizes[2], sizes[3] })
        CHECK(size < 2000);
    // The link must not connect to the reader any more once it is ended.
    hasEnded = true;
    follower.kill();
    std::this_thread::sleep_for(100ms);
}

// Guards against settings that are late because a transfer over a narrow link is given up and started again elsewhere.
TEST_CASE_METHOD(EntryFixture, "Entry_SourceSendsLargeSettingsSlowly_TheyAreInForceWithinTwoSeconds")
{
    addTarget("t1", respondComplete);
    auto const& reader = startDaemon();
    std::atomic<unsigned> transfers { 0 };
    std::atomic<bool> hasEnded { false };
    ScriptedTarget const narrowLink([&](RawConnection& connection, std::string const& head) {
        if (hasEnded)
            return false;
        auto upstream = RawConnection::connectTo(reader.controlPort());
        upstream.send(head);
        auto const body = upstream.readResponse().body;
        constexpr size_t largeBytes = 4000;
        constexpr size_t pieces = 16;
        if (body.size() < largeBytes)
            return connection.send(wholeResponse(body));
        ++transfers;
        auto const response = wholeResponse(body);
        bool isSent = true;
        for (size_t piece = 0; piece < pieces && isSent; ++piece) {
            auto const begin = response.size() * piece / pieces;
            isSent = connection.send(response.substr(begin, response.size() * (piece + 1) / pieces - begin));
            std::this_thread::sleep_for(50ms);
        }
        return isSent;
    });
    StopAtScopeEnd const stop(*this);
    auto options = followerOf(narrowLink.port());
    auto const isServed = [](DaemonProcess const& daemon) {
        auto connection = daemon.connect();
        connection.send(requestText("GET", "/added-last/1", "a1"));
        return connection.readResponse().status() == 200;
    };
    auto& follower = startDaemon(options);
    auto routes = manyRoutes();
    writePlan(5, routes + "," + routeText("last", "/added-last/", "safe"));
    CHECK(eventually([&] { return isServed(follower); }, 2s));
    CHECK(transfers == 1);
    // A daemon that starts has no rows yet and gets all of them.
    options.vmName = "entry-3";
    options.waitsUntilReady = false;
    auto& started = startDaemon(options);
    CHECK(eventually([&] { return isServed(started); }, 2s));
    // The link must not connect to the reader any more once it is ended.
    hasEnded = true;
    follower.kill();
    started.kill();
    std::this_thread::sleep_for(100ms);
}

// The platform kills the process after the grace time. Guards against waiting that long for a request that takes
// longer.
TEST_CASE_METHOD(EntryFixture, "Entry_SigtermDuringARequestLongerThanTheGraceTime_ExitsWithinTheGraceTime")
{
    auto& target = addTarget("t1", [](RawConnection& connection, std::string const&) {
        connection.waitForEnd(2s);
        return false;
    });
    startDaemon();
    daemon().replaceInSettings("grace_seconds = \"6\"", "grace_seconds = \"0.6\"");
    daemon().hangUp();
    REQUIRE(eventually([&] { return daemon().log().find("event=settings_file_read") != std::string::npos; }));
    auto running = daemon().connect();
    running.send(requestText("GET", "/read/1", "a1"));
    REQUIRE(eventually([&] { return target.runs == 1; }));
    daemon().terminate();
    CHECK(daemon().waitForExit(600ms) == 0);
}

// After a power failure of all VMs the seeds may be down. Guards against waiting for them, since a daemon without rows
// refuses every request: it once took 0.53 s to get rows (docs/incidents/inc-673b.md). The bound includes the start of
// the daemon.
TEST_CASE_METHOD(EntryFixture, "Entry_RestartWithSeedsThatAreDown_ServesSoon")
{
    addTarget("t1", respondComplete);
    // A listener that accepts connections and never responds simulates a VM without power.
    auto const silent = listenOnFreePort();
    DaemonOptions options;
    options.seedPorts = { silent.port, silent.port };
    options.waitsUntilReady = false;
    startDaemon(options);
    auto const begin = std::chrono::steady_clock::now();
    CHECK(eventually([&] { return daemon().admin("/ready").status() == 200; }));
    CHECK(std::chrono::steady_clock::now() - begin < 400ms);
    ::close(silent.descriptor);
}

// Guards against a request that crashes one target after the other, because its caller retries it through any VM.
TEST_CASE_METHOD(EntryFixture, "Entry_RequestThatCrashesTargets_IsRefusedByAllDaemonsAfterThree")
{
    std::vector<EntryTarget*> targets;
    StopAtScopeEnd const stop(*this);
    for (auto const* id : { "t1", "t2", "t3", "t4", "t5", "t6" }) {
        targets.push_back(&addTarget(id, [&targets, id](RawConnection& connection, std::string const& head) {
            if (head.starts_with("GET /read/fine ")) {
                connection.send(signedResponse(head, "whole"));
                return true;
            }
            for (auto* const target : targets) {
                if (target->id == id)
                    target->crash();
            }
            connection.reset();
            return false;
        }));
    }
    auto const runs = [&] {
        unsigned sum = 0;
        for (auto const* target : targets)
            sum += target->runs;
        return sum;
    };
    startDaemon();
    DaemonOptions options;
    options.vmName = "entry-2";
    auto& second = startDaemon(options);
    for (int count = 0; count < 3 && runs() < 3; ++count) {
        call("GET", "/read/poison");
        std::this_thread::sleep_for(400ms);
    }
    CHECK(runs() >= 3);
    for (auto* const target : targets)
        target->restart();
    std::this_thread::sleep_for(3s);
    auto const before = runs();
    CHECK(call("GET", "/read/poison").status() == 503);
    auto connection = second.connect();
    connection.send(requestText("GET", "/read/poison", "b1"));
    CHECK(connection.readResponse().status() == 503);
    CHECK(runs() == before);
    CHECK(call("GET", "/read/fine").status() == 200);
}

TEST_CASE_METHOD(EntryFixture, "Entry_SigtermDuringARequest_RespondsToItAndExits")
{
    addTarget("t1", [](RawConnection& connection, std::string const& head) {
        std::this_thread::sleep_for(500ms);
        connection.send(signedResponse(head, "whole"));
        return true;
    });
    DaemonOptions options;
    options.balancerLagMilliseconds = 1000;
    startDaemon(options);
    auto running = daemon().connect();
    running.send(requestText("POST", "/pay/1", "a1", "paper=1"));
    std::this_thread::sleep_for(150ms);
    daemon().terminate();
    CHECK(eventually([&] { return daemon().admin("/ready").status() == 503; }, 300ms));
    // Callers that the platform's balancer still sends are served, and their connections are closed.
    auto const late = call("GET", "/read/1");
    CHECK(late.status() == 200);
    CHECK(late.field("Connection") == "close");
    CHECK(running.readResponse().body == "whole");
    CHECK(daemon().waitForExit(5s) == 0);
}

// Guards against connections that are reset during a planned stop: callers had opened them and sent requests, but the
// daemon had not accepted them yet when it closed its listening socket.
TEST_CASE_METHOD(EntryFixture, "Entry_SigtermWhileConnectionsWaitToBeAccepted_AnswersTheirRequests")
{
    addTarget("t1", respondComplete);
    auto& daemon = startDaemon();
    CHECK(call("GET", "/read/1").status() == 200);
    daemon.stop();
    std::vector<RawConnection> connections;
    for (unsigned index = 0; index < 40; ++index) {
        connections.push_back(daemon.connect());
        connections.back().send(requestText("GET", "/read/1", "waiting" + std::to_string(index)));
    }
    daemon.terminate();
    daemon.resume();
    unsigned answered = 0;
    for (auto& connection : connections) {
        auto const response = connection.readResponse();
        answered += response.isComplete && (response.status() == 200 || response.status() == 503) ? 1 : 0;
    }
    CHECK(answered == connections.size());
    CHECK(daemon.waitForExit() == 0);
}

// Guards against a daemon that was paused for seconds and then sends requests to a target that left meanwhile, because
// its rows are as old as the pause.
TEST_CASE_METHOD(EntryFixture, "Entry_PausedWhileATargetLeaves_SendsItNothingAfterwards")
{
    auto& leaving = addTarget("t1", respondComplete);
    auto& staying = addTarget("t2", respondComplete);
    staying.load = "1,0,16,200"; // Makes the daemon choose the other one first.
    auto& daemon = startDaemon();
    CHECK(call("GET", "/read/1").status() == 200);
    CHECK(leaving.runs == 1);
    daemon.stop();
    registerTarget(leaving, "draining");
    std::this_thread::sleep_for(3s);
    std::vector<RawConnection> connections;
    for (unsigned index = 0; index < 8; ++index) {
        connections.push_back(daemon.connect());
        connections.back().send(requestText("GET", "/read/1", "waiting" + std::to_string(index)));
    }
    daemon.resume();
    for (auto& connection : connections)
        CHECK(connection.readResponse().body == "whole");
    CHECK(leaving.runs == 1);
    CHECK(staying.runs == 8);
}

// Guards against a restarted daemon that uses a server which had left and a route which had been withdrawn: the first
// daemon that responds to it was cut off from the store and still has the rows of before.
TEST_CASE_METHOD(EntryFixture, "Entry_RestartWithAStalePeer_UsesNothingThatWasWithdrawn")
{
    auto& left = addTarget("t1", respondComplete);
    writePlan(2, "," + routeText("withdrawn", "/withdrawn/", "safe"));
    auto const& first = startDaemon();
    auto connection = first.connect();
    connection.send("GET /withdrawn/1 HTTP/1.1\r\nHost: orders.test\r\nX-Comfreysail-Request-Id: a1\r\n\r\n");
    CHECK(connection.readResponse().status() == 200);
    auto control = RawConnection::connectTo(first.controlPort());
    control.send("GET /rows?name=vm HTTP/1.1\r\nHost: a\r\n\r\n");
    auto rows = control.readResponse().body;
    auto const age = rows.find("\"age_ms\":") + 9;
    rows.replace(age, rows.find(',', age) - age, "60000");
    ScriptedTarget const stalePeer(
        [&](RawConnection& peer, std::string const&) { return peer.send(wholeResponse(rows)); });

    removeTarget(left.id);
    writePlan(3);
    auto& joined = addTarget("t2", respondComplete);
    DaemonOptions options;
    options.vmName = "entry-2";
    options.seedPorts = { stalePeer.port() };
    left.runs = 0;
    auto const& second = startDaemon(options);
    for (unsigned index = 0; index < 5; ++index) {
        auto caller = second.connect();
        caller.send(requestText("GET", "/read/1", "b" + std::to_string(index)));
        caller.send(requestText("GET", "/withdrawn/1", "c" + std::to_string(index)));
        CHECK(caller.readResponse().status() == 200);
        CHECK(caller.readResponse().status() == 404);
    }
    CHECK(left.runs == 0);
    CHECK(joined.runs == 5);
    CHECK(stalePeer.requests() > 0);
}

// Guards against giving up, or starting again elsewhere, the work of a target that is only silent: its registration
// disappears while it runs a request, and it does not respond to load probes.
TEST_CASE_METHOD(EntryFixture, "Entry_TargetSilentWhileItRunsARequest_ItsWorkIsWaitedFor")
{
    auto& silent = addTarget("t1", [](RawConnection& connection, std::string const& head) {
        std::this_thread::sleep_for(900ms);
        connection.send(signedResponse(head, "whole"));
        return true;
    });
    startDaemon();
    auto order = daemon().connect();
    order.send(requestText("POST", "/pay/1", "a1", "order"));
    auto lookup = daemon().connect();
    lookup.send(requestText("GET", "/read/1", "a2"));
    CHECK(eventually([&] { return silent.runs == 2; }));
    silent.isDown = true;
    removeTarget(silent.id);
    auto& other = addTarget("t2", respondComplete);
    CHECK(order.readResponse().body == "whole");
    CHECK(lookup.readResponse().body == "whole");
    CHECK(silent.runs == 2);
    CHECK(other.runs == 0);
}
