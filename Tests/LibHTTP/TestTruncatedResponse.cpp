#include <LibHTTP/HTTP.h>
#include <Support/ScriptedTarget.h>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>
#include <thread>

using namespace Comfreysail;
using namespace Comfreysail::HTTP;
using Tests::ScriptedTarget;

namespace {

std::string const body = "the whole body";

struct Framing {
    std::string name;
    std::string response;
    bool endsWithConnection { false };
};

std::vector<Framing> framings()
{
    auto const size = std::to_string(body.size());
    return {
        { "length", "HTTP/1.1 200 OK\r\nContent-Length: " + size + "\r\n\r\n" + body },
        { "chunks",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n" + body.substr(0, 4) + "\r\na;x=y\r\n"
                + body.substr(4) + "\r\n0\r\nX-Trailer: t\r\n\r\n" },
        { "close", "HTTP/1.1 200 OK\r\n\r\n" + body, true },
    };
}

/// The body if the response was complete.
awaitable<std::optional<std::string>> readResponse(
    asio::io_context& context, Endpoint endpoint, std::string requestBody = {})
{
    auto const connection
        = std::make_shared<ClientConnection>(context.get_executor(), std::move(endpoint), ReadLimits {});
    auto const connected = co_await connection->connect();
    if (isError(connected))
        co_return std::nullopt;
    RequestHead head;
    head.method = "GET";
    head.target = "/";
    head.fields.add("Host", "a");
    if (!requestBody.empty())
        head.contentLength = requestBody.size();
    auto const sent = co_await connection->send(head, std::make_shared<std::string const>(std::move(requestBody)));
    auto const response = co_await connection->readHead("GET");
    if (isError(sent) || isError(response))
        co_return std::nullopt;
    std::string received;
    std::array<char, 1000> buffer {};
    while (true) {
        auto const size = co_await connection->readBody(buffer);
        if (isError(size))
            co_return std::nullopt;
        if (valueOf(size) == 0)
            co_return received;
        received.append(buffer.data(), valueOf(size));
    }
}

}

// Guards against a response that broke off at any byte and counts as complete. Only a response without a length that
// ends with an orderly close cannot be told from a complete one; it is passed on in the same way.
TEST_CASE("Response_BrokenOffAtAnyByte_IsNotComplete", "[MessageReader]")
{
    auto const framing = framings()[GENERATE(0, 1, 2)];
    bool const isReset = GENERATE(false, true);
    std::string part;
    ScriptedTarget const target([&](Tests::RawConnection& connection, std::string const&) {
        connection.send(part);
        if (isReset)
            connection.reset();
        return false;
    });
    asio::io_context context;
    for (size_t size = 0; size <= framing.response.size(); ++size) {
        part = framing.response.substr(0, size);
        CAPTURE(framing.name, isReset, part);
        context.restart();
        auto result = asio::co_spawn(context, readResponse(context, { "127.0.0.1", target.port() }), asio::use_future);
        context.run();
        auto const received = result.get();
        bool const isWhole = size == framing.response.size();
        bool const hasHead = part.find("\r\n\r\n") != std::string::npos;
        if (framing.endsWithConnection && !isReset)
            CHECK(received.has_value() == hasHead);
        else if (framing.endsWithConnection || !isWhole)
            CHECK_FALSE(received);
        else if (!isReset) // A reset may overtake the last bytes.
            CHECK(received == body);
    }
}

// Guards against a part of a response that counts as complete. The target responds before it has read a long upload,
// and resets the connection while that is still written. The write gets the error of the reset then, and a read that
// follows reports the end of the stream as after an orderly close.
TEST_CASE("Response_WithoutLengthThatIsResetDuringTheUpload_IsNotComplete", "[MessageReader]")
{
    auto const delay = std::chrono::milliseconds(GENERATE(0, 1, 5, 20));
    ScriptedTarget const target([&](Tests::RawConnection& connection, std::string const&) {
        connection.send("HTTP/1.1 200 OK\r\n\r\n" + body.substr(0, 4));
        std::this_thread::sleep_for(delay);
        connection.reset();
        return false;
    });
    asio::io_context context;
    for (int count = 0; count < 20; ++count) {
        CAPTURE(delay.count(), count);
        context.restart();
        auto result = asio::co_spawn(context,
            readResponse(context, { "127.0.0.1", target.port() }, std::string(size_t { 32 } << 20, 'u')),
            asio::use_future);
        context.run();
        CHECK_FALSE(result.get());
    }
}

// The counterpart: a response that ends with an orderly close is complete, also if the target leaves the upload unread
// for a while.
TEST_CASE("Response_WithoutLengthThatEndsDuringTheUpload_IsComplete", "[MessageReader]")
{
    ScriptedTarget const target([&](Tests::RawConnection& connection, std::string const&) {
        connection.send("HTTP/1.1 200 OK\r\n\r\n" + body);
        connection.closeSendingSide();
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        connection.waitForEnd(std::chrono::seconds(2));
        return false;
    });
    asio::io_context context;
    auto result = asio::co_spawn(context,
        readResponse(context, { "127.0.0.1", target.port() }, std::string(size_t { 32 } << 20, 'u')), asio::use_future);
    context.run();
    CHECK(result.get() == body);
}

// Guards against a response whose head is not valid: one with the status 000 was skipped like an interim response, and
// its body was read as the next response.
TEST_CASE("Response_InvalidHead_IsNotRead", "[MessageReader]")
{
    std::string const inner = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother";
    auto const length = "Content-Length: " + std::to_string(inner.size()) + "\r\n";
    auto const head = GENERATE_REF("HTTP/1.1 000 Error\r\n" + length, "HTTP/1.1 099 Error\r\n" + length,
        "HTTP/1.1 600 Error\r\n" + length, "HTTP/1.1 2000 Error\r\n" + length,
        "HTTP/1.1 200 OK\r\nBad Name: x\r\n" + length, "HTTP/1.1 200 OK\r\nBad\tName: x\r\n" + length,
        "HTTP/1.1 200 OK\r\nBad\x01Name: x\r\n" + length, "HTTP/1.1 200 OK\r\nBad\x7fName: x\r\n" + length,
        "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n" + length);
    CAPTURE(head);
    ScriptedTarget const target([&](Tests::RawConnection& connection, std::string const&) {
        connection.send(head + "\r\n" + inner);
        return false;
    });
    asio::io_context context;
    auto result = asio::co_spawn(context, readResponse(context, { "127.0.0.1", target.port() }), asio::use_future);
    context.run();
    CHECK_FALSE(result.get());
}
