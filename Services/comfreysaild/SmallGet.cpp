#include "SmallGet.h"

#include <boost/asio/this_coro.hpp>
#include <vector>

namespace Comfreysail::Daemon {

using HTTP::awaitable;

namespace {

constexpr size_t pieceSize = size_t { 4 } * 1024;

awaitable<std::optional<SmallAnswer>> readAnswer(HTTP::ClientConnection& connection)
{
    auto response = co_await connection.readHead("GET");
    if (isError(response))
        co_return std::nullopt;
    SmallAnswer answer { takeValue(std::move(response)), {} };
    std::vector<char> buffer(pieceSize);
    while (true) {
        auto const size = co_await connection.readBody(buffer);
        if (isError(size))
            co_return std::nullopt;
        if (valueOf(size) == 0)
            co_return answer;
        answer.body.append(buffer.data(), valueOf(size));
    }
}

}

awaitable<std::optional<SmallAnswer>> smallGet(HTTP::ConnectionPool& pool,
    std::shared_ptr<HTTP::ClientConnection> connection, std::string target, Core::Instant deadline)
{
    auto const executor = co_await HTTP::asio::this_coro::executor;
    auto const watchdog = HTTP::Watchdog::create(executor);
    bool isLate = false;
    watchdog->arm(deadline, [&isLate, &connection] {
        isLate = true;
        connection->close();
    });
    Core::Result<Core::Empty> ready = Core::Empty {};
    bool const isNew = connection->openedAt() == Core::Instant {};
    if (isNew)
        ready = co_await connection->connect();
    if (!isError(ready)) {
        HTTP::RequestHead head;
        head.method = "GET";
        head.target = std::move(target);
        auto const& endpoint = connection->endpoint();
        head.fields.add("Host", endpoint.address + ":" + std::to_string(endpoint.port));
        ready = co_await connection->send(head, std::make_shared<std::string>());
    }
    std::optional<SmallAnswer> answer;
    if (!isError(ready))
        answer = co_await readAnswer(*connection);
    watchdog->disarm();
    if (answer)
        pool.giveBack(connection, Core::monotonicNow());
    else
        pool.discard(connection, isLate);
    co_return answer;
}

}
