#include "ControlPlane.h"
#include <LibSettings/Settings.h>
#include <LibStore/Store.h>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>
#include <thread>
#include <zmq.hpp>

using namespace Comfreysail;
using namespace Comfreysail::Daemon;
using namespace std::chrono_literals;

namespace {

std::string tomlWith(int timeout)
{
    return "[defaults]\ntimeout_ms = " + std::to_string(timeout) + R"(
[availability_zones.arima]
state = "in"
region = "tt"
[services.orders]
hosts = ["orders.test"]
version = "v1"
[services.orders.routes.submit]
method = "POST"
path_prefix = "/orders"
class = "order"
idempotent = false
[services.orders.versions.v1]
targets = [{ name = "t1", address = "127.0.0.1", port = 1, availability_zone = "arima", slots = 2 }]
[services.orders.versions.v2]
targets = [{ name = "t2", address = "127.0.0.1", port = 2, availability_zone = "arima", slots = 2 }]
)";
}

Settings::SettingsRevision revisionOf(uint64_t revision, std::string const& toml)
{
    return { revision, "change-" + std::to_string(revision), Settings::settingsHash(toml) };
}

void putSettings(Store::MemoryStore& store, uint64_t revision)
{
    auto const toml = tomlWith(static_cast<int>(1000 * revision));
    Store::SettingsHead const head { revisionOf(revision, toml), toml, std::nullopt, 0 };
    (void)store.transact({ { Store::Operation::Kind::Put, "settings", "head", Store::anyVersion, head.toJson() } });
}

void putMove(Store::MemoryStore& store, std::string id, Core::WallTime start, Core::WallTime finishBy)
{
    Store::MoveRow const row { .id = std::move(id),
        .service = "orders",
        .from = "v1",
        .to = "v2",
        .start = start,
        .finishBy = finishBy,
        .changeId = "declare" };
    (void)store.transact({ { Store::Operation::Kind::Put, "moves", row.id, Store::anyVersion, row.toJson() } });
}

uint16_t freePort()
{
    zmq::context_t context(1);
    zmq::socket_t socket(context, zmq::socket_type::router);
    socket.bind("tcp://127.0.0.1:*");
    auto const endpoint = socket.get(zmq::sockopt::last_endpoint);
    return static_cast<uint16_t>(std::stoul(endpoint.substr(endpoint.rfind(':') + 1)));
}

/// A control plane with its own store port and thread, as a daemon has.
struct Node {
    Node(std::string name, Store::MemoryStore& store, std::vector<std::string> seeds, PeerEvents events = {})
        : port(freePort())
        , plane(context,
              { .name = std::move(name),
                  .availabilityZone = "arima",
                  .address = "127.0.0.1",
                  .peerHttpPort = 1,
                  .peerMessagePort = port,
                  .seeds = std::move(seeds) },
              store.port(), std::move(events))
    {
        REQUIRE_FALSE(Core::isError(plane.start()));
        thread = std::thread([this] { context.run(); });
    }
    ~Node()
    {
        plane.stop();
        guard.reset();
        thread.join();
    }
    std::string endpoint() const { return "127.0.0.1:" + std::to_string(port); }
    uint64_t revision() const { return plane.settings() ? plane.settings()->revision.revision : 0; }

    uint16_t port;
    boost::asio::io_context context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard { context.get_executor() };
    ControlPlane plane;
    std::thread thread;
};

template<typename Condition> bool eventually(Condition condition, Core::Duration maxWait = 5s)
{
    for (auto const end = Core::monotonicNow() + maxWait; Core::monotonicNow() < end;) {
        if (condition())
            return true;
        std::this_thread::sleep_for(10ms);
    }
    return condition();
}

}

// A daemon without settings does not know which zones are out of service. During a store outage it must get the
// settings from a peer.
TEST_CASE("ControlPlane_StoreDown_GetsSettingsAndMovesFromAPeer")
{
    Store::MemoryStore store;
    putSettings(store, 3);
    auto const now = Core::wallNow();
    putMove(store, "m1", now - 60s, now - 1s);
    Node first("vm-1", store, {});
    REQUIRE(eventually([&] { return first.revision() == 3; }));
    REQUIRE(eventually([&] { return first.plane.versionFor("orders", "", "submit", 0.9).version == "v2"; }));

    Store::MemoryStore unavailableStore;
    unavailableStore.setFault(Store::MemoryStore::Fault::Unavailable);
    Node second("vm-2", unavailableStore, { first.endpoint() });
    CHECK(second.plane.refusal() == Core::ErrorKind::SettingsUnavailable);
    CHECK(eventually([&] { return second.revision() == 3 && !second.plane.refusal(); }));
    CHECK(eventually([&] { return second.plane.versionFor("orders", "", "submit", 0.9).version == "v2"; }));
    CHECK(
        eventually([&] { return first.plane.liveMembers()->size() == 2 && second.plane.liveMembers()->size() == 2; }));

    second.plane.beginDrain();
    CHECK(eventually([&] { return first.plane.liveMembers()->size() == 1; }));
    CHECK(second.plane.refusal() == Core::ErrorKind::ShuttingDown);
}

// Reverting to older settings could put an availability zone back into service that the operators took out.
TEST_CASE("ControlPlane_PushedSettings_AreAdoptedWhenNewerAndNeverRevert")
{
    Store::MemoryStore store;
    putSettings(store, 5);
    Node first("vm-1", store, {});
    Node second("vm-2", store, { first.endpoint() });
    REQUIRE(eventually([&] { return first.revision() == 5 && second.revision() == 5; }));
    REQUIRE(eventually([&] { return first.plane.liveMembers()->size() == 2; }));

    auto const push = [&](uint64_t revision) {
        auto const toml = tomlWith(static_cast<int>(1000 * revision));
        auto pushed = first.plane.pushSettings(
            revision, "change-" + std::to_string(revision), Settings::settingsHash(toml), toml);
        return boost::asio::co_spawn(first.context, std::move(pushed), boost::asio::use_future).get();
    };
    auto const older = push(4);
    REQUIRE(Core::isError(older));
    CHECK(Core::errorOf(older).kind == Core::ErrorKind::RevisionConflict);
    CHECK_FALSE(Core::isError(push(6)));
    CHECK(first.revision() == 6);
    CHECK(eventually([&] { return first.revision() == 6 && second.revision() == 6; }));
    // The store still holds revision 5 and is read every second.
    std::this_thread::sleep_for(1500ms);
    CHECK(first.revision() == 6);
    CHECK(second.revision() == 6);
}

// A failing version must lose its traffic on all daemons at once, even if only one of them sees the failures.
TEST_CASE("ControlPlane_BadVersion_IsTakenBackEverywhereAndInTheStore")
{
    Store::MemoryStore store;
    putSettings(store, 1);
    auto const now = Core::wallNow();
    putMove(store, "m1", now - 10s, now + 30s);
    Node first("vm-1", store, {});
    Node second("vm-2", store, { first.endpoint() });
    auto const isMoving = [](Node& node) { return node.plane.versionFor("orders", "", "submit", 0).version == "v2"; };
    REQUIRE(eventually([&] { return isMoving(first) && isMoving(second) && first.plane.liveMembers()->size() == 2; }));
    for (int call = 0; call < 10; ++call) {
        first.plane.reportEvidence({ "orders", "v2", "submit", "arima", "t2", Moves::Outcome::Failure, 5ms });
        first.plane.reportEvidence({ "orders", "v1", "submit", "arima", "t1", Moves::Outcome::Success, 5ms });
    }
    CHECK(eventually([&] { return !isMoving(first) && !isMoving(second); }, 3s));
    CHECK(eventually([&] {
        auto const row = store.row("moves", "m1");
        return row && row->value.find("taken_back") != std::string::npos;
    }));
}

// Without shared crash counts, one request could crash a target through each daemon.
TEST_CASE("ControlPlane_CrashReport_ReachesThePeers")
{
    Store::MemoryStore store;
    putSettings(store, 1);
    std::atomic<uint64_t> fingerprint { 0 };
    PeerEvents events;
    events.onCrash = [&](CrashNotice const& notice) { fingerprint = notice.fingerprint; };
    Node first("vm-1", store, {}, events);
    Node second("vm-2", store, { first.endpoint() });
    REQUIRE(eventually([&] { return second.plane.liveMembers()->size() == 2; }));
    second.plane.reportCrash({ 42, "t1@1796380109479" });
    CHECK(eventually([&] { return fingerprint == 42; }));
}
