#include "BufferedGet.h"

#include <boost/asio/this_coro.hpp>
#include <platform/Platform.h>
#include <vector>

namespace Comfreysail::Daemon {

using HTTP::awaitable;

namespace {

constexpr size_t readBufferSize = size_t { 4 } * 1024;

awaitable<std::optional<BufferedResponse>> readResponse(HTTP::ClientConnection& connection, size_t maxBodyBytes)
{
    auto head = co_await connection.readHead("GET");
    if (isError(head) || valueOf(head).fields.contains(Platform::headerNames().requestId))
        co_return std::nullopt;
    BufferedResponse response { takeValue(std::move(head)), {} };
    std::vector<char> buffer(readBufferSize);
    while (true) {
        auto const size = co_await connection.readBody(buffer);
        if (isError(size) || response.body.size() + valueOf(size) > maxBodyBytes)
            co_return std::nullopt;
        if (valueOf(size) == 0)
            co_return response;
        response.body.append(buffer.data(), valueOf(size));
    }
}

}

awaitable<std::optional<BufferedResponse>> bufferedGet(HTTP::ConnectionPool& pool,
    std::shared_ptr<HTTP::ClientConnection> connection, std::string target, size_t maxBodyBytes, Core::Instant deadline)
{
    auto const executor = co_await HTTP::asio::this_coro::executor;
    auto const watchdog = HTTP::Watchdog::create(executor);
    bool hasTimedOut = false;
    watchdog->arm(deadline, [&hasTimedOut, &connection] {
        hasTimedOut = true;
        connection->close();
    });
    Core::Result<Core::Empty> result = Core::Empty {};
    bool const isNew = connection->openedAt() == Core::Instant {};
    if (isNew)
        result = co_await connection->connect();
    if (!isError(result)) {
        HTTP::RequestHead head;
        head.method = "GET";
        head.target = std::move(target);
        auto const& endpoint = connection->endpoint();
        head.fields.add("Host", endpoint.address + ":" + std::to_string(endpoint.port));
        result = co_await connection->send(head, std::make_shared<std::string>());
    }
    std::optional<BufferedResponse> response;
    if (!isError(result))
        response = co_await readResponse(*connection, maxBodyBytes);
    watchdog->disarm();
    if (response)
        pool.release(connection, Core::monotonicNow());
    else
        pool.discard(connection, hasTimedOut);
    co_return response;
}

}
