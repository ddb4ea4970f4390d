#include <LibHTTP/HTTP.h>
#include <Support/ScriptedTarget.h>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>

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
awaitable<std::optional<std::string>> readResponse(asio::io_context& context, Endpoint endpoint)
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
    auto const sent = co_await connection->send(head, std::make_shared<std::string const>());
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
