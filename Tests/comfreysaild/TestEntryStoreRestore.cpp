#include "EntryFixture.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace Comfreysail::Tests;
using namespace std::chrono_literals;

namespace {

bool respondComplete(RawConnection& connection, std::string const& head)
{
    return connection.send(signedResponse(head, "whole"));
}

std::string addedRoute()
{
    return R"(,{"name":"new","host":"orders.test","prefix":"/new/","kind":"safe","timeout-s":1,"service":"orders"})";
}

/// A store that has written many rows since its copy was made, so that it gives out these revisions again.
class RestoreFixture : public EntryFixture {
public:
    RestoreFixture() { addTarget("t1", respondComplete); }

    void writeRowsThatAreLost()
    {
        for (int count = 0; count < 200; ++count)
            writeRegistryRow("lost", R"({"sequence":)" + std::to_string(count) + "}");
        // The daemon reads them.
        std::this_thread::sleep_for(1500ms);
    }

    bool hasResult(std::string const& state)
    {
        return storeRow("status", "rollout/orders").find(state) != std::string::npos;
    }
};

}

// Guards against a route that is not in force for seconds, or for good, since its row has a revision that the daemon
// saw before the store came back from an older copy.
TEST_CASE_METHOD(RestoreFixture, "Entry_StoreComesBackFromAnOlderCopy_RouteAddedThenIsServedInTime")
{
    StopAtScopeEnd const stop(*this);
    startDaemon();
    copyStore();
    writeRowsThatAreLost();
    CHECK(call("GET", "/read/1").status() == 200);
    restoreStore(1s);
    writePlan(5, addedRoute());
    CHECK(eventually([&] { return call("GET", "/new/1").status() == 200; }, 2s));
    CHECK(call("GET", "/read/1").status() == 200);
}

// Guards against operators who never hear that a move is completed, since its result was lost with the store's last
// seconds and nobody writes it again.
TEST_CASE_METHOD(RestoreFixture, "Entry_StoreLosesTheResultOfAMove_ItIsWrittenAgain")
{
    addTarget("t2", respondComplete, "v2");
    StopAtScopeEnd const stop(*this);
    startDaemon();
    writeOperatorRow("rollout/orders", R"({"service":"orders","to":"v2","duration-s":4})");
    copyStore();
    REQUIRE(eventually([&] { return hasResult("completed"); }, 8s));
    std::this_thread::sleep_for(1500ms);
    restoreStore(1s);
    CHECK_FALSE(hasResult("completed"));
    CHECK(eventually([&] { return hasResult("completed"); }, 6s));
}

// Guards against an older copy that undoes what is in force before the operators have written it again.
TEST_CASE_METHOD(RestoreFixture, "Entry_StoreComesBackFromAnOlderCopy_SettingsInForceStay")
{
    StopAtScopeEnd const stop(*this);
    startDaemon();
    copyStore();
    writePlan(5, addedRoute());
    REQUIRE(eventually([&] { return call("GET", "/new/1").status() == 200; }, 3s));
    restoreStore(1s);
    for (int count = 0; count < 20; ++count) {
        CHECK(call("GET", "/new/1").status() == 200);
        std::this_thread::sleep_for(100ms);
    }
}
