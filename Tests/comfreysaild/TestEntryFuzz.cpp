#include "EntryFixture.h"

#include <Support/Mutation.h>
#include <catch2/catch.hpp>

using namespace Comfreysail::Tests;
using namespace std::chrono_literals;

namespace {

// Enough to find simple faults within a second or two. Run more rounds with other seeds by hand.
constexpr int rounds = 400;
constexpr unsigned seed = 20261204;

bool respondComplete(RawConnection& connection, std::string const& head)
{
    connection.send(signedResponse(head, "whole"));
    return true;
}

std::string chunkedRequest(std::string const& id)
{
    return "POST /pay/x HTTP/1.1\r\nHost: orders.test\r\nX-Comfreysail-Request-Id: " + id
        + "\r\nX-Comfreysail-Deadline-Ms: 300\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
}

}

// Guards against damaged requests that stop the daemon, affect other callers, or reach a target as a request that no
// caller sent. The daemon may refuse them.
TEST_CASE_METHOD(EntryFixture, "Entry_DamagedRequests_DoNotHarmOtherCallers")
{
    auto& target = addTarget("t1", respondComplete);
    startDaemon();
    std::mt19937 generator(seed);
    for (int round = 0; round < rounds; ++round) {
        auto const id = "a" + std::to_string(round);
        std::string const whole[] = { requestText("GET", "/read/1", id, {}, 300), chunkedRequest(id),
            requestText("POST", "/pay/1", id, "paper=1", 300) };
        auto connection = daemon().connect();
        connection.send(mutated(whole[generator() % 3], generator) + whole[generator() % 3]);
    }
    CHECK(call("GET", "/read/1").body == "whole");
    for (auto const& head : target.server->heads()) {
        CAPTURE(head);
        // The target also receives the daemon's load probes.
        CHECK((head.starts_with("GET /health ")
            || head.find("X-Comfreysail-Expect-Instance: t1\r\n") != std::string::npos));
    }
}

// Guards against delivering a damaged response as a success: the body must be the one that the target announced.
TEST_CASE_METHOD(EntryFixture, "Entry_DamagedResponses_AreNotDeliveredAsComplete")
{
    std::mt19937 generator(seed);
    std::mutex mutex;
    std::string sent;
    StopAtScopeEnd const stop(*this);
    addTarget("t1", [&](RawConnection& connection, std::string const& head) {
        std::lock_guard const lock(mutex);
        sent = mutated(signedResponse(head, "whole body of the answer"), generator);
        connection.send(sent);
        return false;
    });
    startDaemon();
    unsigned delivered = 0;
    for (int round = 0; round < rounds; ++round) {
        auto const id = "a" + std::to_string(round);
        auto connection = daemon().connect();
        connection.send(requestText("GET", "/read/1", id, {}, 300));
        auto const response = connection.readResponse();
        std::lock_guard const lock(mutex);
        CAPTURE(round, sent, response.head, response.body);
        if (response.status() != 200)
            continue;
        ++delivered;
        CHECK(sent.find("\r\n\r\n" + response.body) != std::string::npos);
        CHECK(response.head.find("X-Comfreysail-Request-Id: " + id + "\r\n") != std::string::npos);
    }
    CAPTURE(delivered);
    CHECK(daemon().admin("/health").status() == 200);
}

// Guards against an overflow: with an impossible age, the rows of that daemon would seem to be from the future.
TEST_CASE_METHOD(EntryFixture, "Entry_RowsOfAnotherDaemonWithAnImpossibleAge_AreRefused")
{
    addTarget("t1", respondComplete);
    ScriptedTarget const peer([&](RawConnection& connection, std::string const&) {
        connection.send(wholeResponse(R"({"age_ms":18446744073709550616,"revisions":{"op":1,"servers":1},)"
                                      R"("digests":{},"complete":["op","servers"],"rows":[],"verdicts":{}})"));
        return true;
    });
    DaemonOptions options;
    options.seedPorts = { peer.port(), peer.port() };
    startDaemon(options);
    CHECK(daemon().log().find("event=relay_answer_refused") != std::string::npos);
    CHECK(call("GET", "/read/1").body == "whole");
}

// Guards against damaged messages of other daemons, or messages of another program at the address of a daemon.
TEST_CASE_METHOD(EntryFixture, "Entry_DamagedMessagesOfOtherDaemons_AreRefusedAndDoNotStopIt")
{
    addTarget("t1", respondComplete);
    std::mt19937 generator(seed);
    std::string const answer
        = R"({"age_ms":5,"revisions":{"op":1,"servers":1},"digests":{"op":1},)"
          R"("complete":["op"],"rows":[["op","config","1\n{}"],["op","y",{"zstd":"KLUv/SAFKQAAMQphYmM="}],["op","x",null]],)"
          R"("verdicts":{"s":1}})";
    std::string const compressedAnswer = R"({"age_ms":5,"revisions":{"op":1},"digests":{"op":1},"complete":["op"],)"
                                         R"("rows":{"zstd":"KLUv/SAFKQAAMQphYmM="},"verdicts":{}})";
    ScriptedTarget const peer([&](RawConnection& connection, std::string const&) {
        connection.send(wholeResponse(mutated(generator() % 2 == 0 ? answer : compressedAnswer, generator)));
        return true;
    });
    DaemonOptions options;
    options.seedPorts = { peer.port(), peer.port() };
    startDaemon(options);
    CHECK(call("GET", "/read/1").body == "whole");
    CHECK(daemon().log().find("event=relay_answer_refused") != std::string::npos);
    for (int round = 0; round < rounds; ++round) {
        auto connection = RawConnection::connectTo(daemon().controlPort());
        connection.send(mutated("GET /rows?name=vm&revisions=op%203%20servers%204&verdicts=s%201&wait_ms=0&counts="
                                "1~a.1.2.3.4.5.6 HTTP/1.1\r\nHost: a\r\n\r\n",
            generator));
    }
    CHECK(call("GET", "/read/1").body == "whole");
    CHECK(daemon().admin("/ready").status() == 200);
    CHECK(peer.requests() > 0);
}
