#include <Support/RawConnection.h>
#include <Support/ScriptedTarget.h>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>
#include <fstream>
#include <platform/Platform.h>

using namespace Comfreysail;
using Tests::RawConnection;
using Tests::ScriptedTarget;
using Tests::wholeResponse;
using namespace std::chrono_literals;

namespace {

constexpr auto callTimeout = 900ms;

std::string page(std::string const& table, std::string const& rows)
{
    auto const row
        = R"({"table":")" + table + R"(","part":"","key":")" + rows + R"(","value":"","resource-version":3})";
    return R"({"rows":[)" + (rows.empty() ? std::string() : row)
        + R"(],"has-more":false,"resource-version":7,"now-s":1})";
}

Core::Result<Platform::RowPage> readTable(boost::asio::io_context& context, Platform::StoreClient& client,
    std::string const& table, Core::Duration transferTime = {})
{
    Platform::RowRange range { table, {}, {}, {}, 0 };
    auto result = boost::asio::co_spawn(context,
        client.readRows(std::move(range), Core::monotonicNow() + callTimeout, transferTime), boost::asio::use_future);
    context.restart();
    context.run();
    return result.get();
}

size_t residentKilobytes()
{
    std::ifstream status("/proc/self/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("VmRSS:"))
            return std::stoul(line.substr(6));
    }
    return 0;
}

}

// A store in trouble may send bytes that never end. The call must end in its time, with an error and bounded memory.
TEST_CASE("StoreClient_ResponseWithoutEnd_IsAnErrorInTime")
{
    struct Endless {
        std::string start;
        std::string repeated;
    };
    auto const& [start, repeated] = GENERATE(values<Endless>({
        { "HTTP/1.1 200 OK\r\n", "X-A: b\r\n" },
        { "HTTP/1.1 200 OK\r\nX-A: ", "a" },
        { "", "HTTP/1.1 100 Continue\r\n\r\n" },
        { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "a" },
        { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n" },
        { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-A: ", "a" },
        { "HTTP/1.1 200 OK\r\n\r\n", "a" },
        { "HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n", "a" },
    }));
    CAPTURE(start, repeated);
    ScriptedTarget const store([start = start, repeated = repeated](RawConnection& connection, std::string const&) {
        std::string block;
        while (block.size() < 64'000)
            block += repeated;
        bool isOpen = connection.send(start);
        while (isOpen)
            isOpen = connection.send(block);
        return false;
    });
    boost::asio::io_context context;
    Platform::StoreClient client(context.get_executor(), "127.0.0.1", store.port());
    auto const before = residentKilobytes();
    auto const startedAt = std::chrono::steady_clock::now();
    CHECK(Core::isError(readTable(context, client, "servers")));
    CHECK(std::chrono::steady_clock::now() - startedAt < callTimeout + 500ms);
    // The largest response of the store is 16 MiB, and a growing buffer is twice as large.
    CHECK(residentKilobytes() < before + size_t { 3 } * 16 * 1024);
}

// Responses of the store have no id. After an interim response, the final one was taken for that to the next call.
TEST_CASE("StoreClient_InterimResponse_FinalOneIsNotTheAnswerToTheNextCall")
{
    std::atomic<unsigned> calls { 0 };
    ScriptedTarget const store([&calls](RawConnection& connection, std::string const& head) {
        bool const isFirst = ++calls == 1;
        auto const table = head.find("table=op") != std::string::npos ? "op" : "servers";
        if (isFirst) {
            connection.send("HTTP/1.1 103 Early Hints\r\n\r\n");
            std::this_thread::sleep_for(100ms);
        }
        return connection.send(wholeResponse(page(table, table)));
    });
    boost::asio::io_context context;
    Platform::StoreClient client(context.get_executor(), "127.0.0.1", store.port());
    auto const first = readTable(context, client, "op");
    if (!Core::isError(first))
        CHECK(Core::valueOf(first).rows.front().key == "op");
    auto const second = readTable(context, client, "servers");
    REQUIRE_FALSE(Core::isError(second));
    CHECK(Core::valueOf(second).rows.front().key == "servers");
}

// A page with rows of another table answers another call. Taken for the registry, it would remove all targets.
TEST_CASE("StoreClient_PageOfAnotherTable_IsAnError")
{
    ScriptedTarget const store([](RawConnection& connection, std::string const&) {
        return connection.send(wholeResponse(page("op", "config")));
    });
    boost::asio::io_context context;
    Platform::StoreClient client(context.get_executor(), "127.0.0.1", store.port());
    CHECK_FALSE(Core::isError(readTable(context, client, "op")));
    CHECK(Core::isError(readTable(context, client, "servers")));
}

// Guards against large settings that are never read over a narrow link, because each call for them ends too early.
TEST_CASE("StoreClient_PageArrivesSlowly_IsReadWithinItsTransferTime")
{
    ScriptedTarget const store([](RawConnection& connection, std::string const&) {
        auto const response = wholeResponse(page("t", "a"));
        auto const body = response.size() - 20;
        connection.send(response.substr(0, body));
        std::this_thread::sleep_for(callTimeout + 200ms);
        return connection.send(response.substr(body));
    });
    boost::asio::io_context context;
    Platform::StoreClient client(context.get_executor(), "127.0.0.1", store.port());
    CHECK(isError(readTable(context, client, "t")));
    CHECK_FALSE(isError(readTable(context, client, "t", 1s)));
}

// Guards against a damaged response of the store that counts as one: a field name with a blank or a control byte, or a
// status that does not exist.
TEST_CASE("StoreClient_InvalidHead_IsAnError")
{
    auto const head = GENERATE(as<std::string> {}, "000 Error\r\n", "600 Error\r\n", "200 OK\r\nBad Name: x\r\n",
        "200 OK\r\nBad\x01Name: x\r\n", "200 OK\r\nBad\x7fName: x\r\n", "200 OK\r\nContent-Length : 5\r\n");
    CAPTURE(head);
    auto const body = page("servers", "a");
    ScriptedTarget const store([&](RawConnection& connection, std::string const&) {
        return connection.send(
            "HTTP/1.1 " + head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    });
    boost::asio::io_context context;
    Platform::StoreClient client(context.get_executor(), "127.0.0.1", store.port());
    CHECK(isError(readTable(context, client, "servers")));
}

// Guards against a late response of the store from before it came back from an older copy.
TEST_CASE("StoreClient_ResponseOfAnEarlierEra_IsAnError")
{
    auto const eras = std::make_shared<std::vector<std::string>>(std::vector<std::string> { "1", "2", "1", "x", "2" });
    std::atomic<size_t> calls { 0 };
    ScriptedTarget const store([&](RawConnection& connection, std::string const&) {
        return connection.send(wholeResponse(page("servers", "a"), "Store-Era: " + eras->at(calls++) + "\r\n"));
    });
    boost::asio::io_context context;
    Platform::StoreClient client(context.get_executor(), "127.0.0.1", store.port());
    auto const first = readTable(context, client, "servers");
    auto const second = readTable(context, client, "servers");
    REQUIRE_FALSE(isError(first));
    REQUIRE_FALSE(isError(second));
    CHECK(valueOf(second).storeRevision > valueOf(first).storeRevision);
    CHECK(isError(readTable(context, client, "servers")));
    CHECK(isError(readTable(context, client, "servers")));
    CHECK_FALSE(isError(readTable(context, client, "servers")));
}

// Guards against a conditional write that hits another row, to which the store gave the same revision in its new era.
TEST_CASE("StoreClient_ConditionOfAnEarlierEra_IsNotSent")
{
    std::atomic<unsigned> writes { 0 };
    ScriptedTarget const store([&](RawConnection& connection, std::string const& head) {
        writes += head.starts_with("POST") ? 1 : 0;
        return connection.send(wholeResponse(page("t", "a"), "Store-Era: 2\r\n"));
    });
    boost::asio::io_context context;
    Platform::StoreClient client(context.get_executor(), "127.0.0.1", store.port());
    auto const read = readTable(context, client, "t");
    REQUIRE_FALSE(isError(read));
    auto const write = [&](uint64_t revision) {
        Platform::RowTransaction transaction;
        transaction.conditions.push_back({ "", "a", "", revision, "t" });
        auto result = boost::asio::co_spawn(
            context, client.write(std::move(transaction), Core::monotonicNow() + callTimeout), boost::asio::use_future);
        context.restart();
        context.run();
        return result.get();
    };
    auto const earlier = write(3);
    REQUIRE_FALSE(isError(earlier));
    CHECK(valueOf(earlier) == Platform::WriteEnd::Conflict);
    CHECK(writes == 0);
    CHECK(valueOf(write(valueOf(read).rows[0].revision)) == Platform::WriteEnd::Written);
    CHECK(writes == 1);
}
