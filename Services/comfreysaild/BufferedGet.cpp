#include "BufferedGet.h"

#include <algorithm>
#include <boost/asio/this_coro.hpp>
#include <platform/Platform.h>
#include <vector>

namespace Comfreysail::Daemon {

using HTTP::awaitable;

namespace {

constexpr size_t readBufferSize = size_t { 4 } * 1024;
// A transfer that makes no progress for this long has stalled. When a source with a link of 10 Mbit/s sends to eight
// daemons at once, the packets of one of them are up to 0.4 s apart.
constexpr Core::Duration maxStallTime = std::chrono::milliseconds(500);

Core::Instant bodyDeadline(BufferedGetLimits const& limits, Core::Instant now)
{
    return std::max(limits.deadline, std::min(now + maxStallTime, limits.deadline + limits.transferTime));
}

awaitable<BufferedExchange> readResponse(
    HTTP::ClientConnection& connection, HTTP::Watchdog& watchdog, BufferedGetLimits const& limits)
{
    BufferedExchange exchange;
    auto head = co_await connection.readHead("GET");
    auto const headAt = Core::suspendAwareNow();
    exchange.hasHead = !isError(head);
    exchange.headWait = watchdog.timeSinceLastStep();
    if (isError(head) || valueOf(head).fields.contains(Platform::headerNames().requestId))
        co_return exchange;
    BufferedResponse response { takeValue(std::move(head)), {} };
    std::vector<char> buffer(readBufferSize);
    while (true) {
        watchdog.extend(bodyDeadline(limits, Core::monotonicNow()));
        auto const size = co_await connection.readBody(buffer);
        exchange.bodyTime = Core::suspendAwareNow() - headAt;
        if (isError(size) || response.body.size() + valueOf(size) > limits.maxBodyBytes)
            co_return exchange;
        if (valueOf(size) == 0)
            break;
        response.body.append(buffer.data(), valueOf(size));
        exchange.bodyBytes = response.body.size();
    }
    exchange.response = std::move(response);
    co_return exchange;
}

awaitable<BufferedExchange> bufferedExchange(HTTP::ConnectionPool& pool,
    std::shared_ptr<HTTP::ClientConnection> connection, HTTP::RequestHead head,
    std::shared_ptr<std::string const> requestBody, BufferedGetLimits limits)
{
    auto const executor = co_await HTTP::asio::this_coro::executor;
    auto const watchdog = HTTP::Watchdog::create(executor);
    bool hasTimedOut = false;
    auto const giveUp = [&hasTimedOut, &connection] {
        hasTimedOut = true;
        connection->close();
    };
    watchdog->armInSteps(limits.deadline, limits.maxUncountedSteps, [&] {
        bool const isOpen = connection->openedAt() != Core::Instant {};
        auto const later = isOpen && limits.onDeadline ? limits.onDeadline() : std::nullopt;
        if (later)
            watchdog->armInSteps(*later, limits.maxUncountedSteps, giveUp);
        else
            giveUp();
    });
    Core::Result<Core::Empty> result = Core::Empty {};
    bool const isNew = connection->openedAt() == Core::Instant {};
    if (isNew)
        result = co_await connection->connect();
    if (!isError(result)) {
        auto const& endpoint = connection->endpoint();
        head.fields.add("Host", endpoint.address + ":" + std::to_string(endpoint.port));
        result = co_await connection->send(head, std::move(requestBody));
    }
    BufferedExchange exchange;
    if (!isError(result))
        exchange = co_await readResponse(*connection, *watchdog, limits);
    watchdog->disarm();
    if (exchange.response)
        pool.release(connection, Core::monotonicNow());
    else
        pool.discard(connection, hasTimedOut);
    co_return exchange;
}

}

awaitable<BufferedExchange> bufferedGet(HTTP::ConnectionPool& pool, std::shared_ptr<HTTP::ClientConnection> connection,
    std::string target, BufferedGetLimits limits)
{
    HTTP::RequestHead head;
    head.method = "GET";
    head.target = std::move(target);
    auto body = std::make_shared<std::string const>();
    auto exchange = co_await bufferedExchange(pool, std::move(connection), std::move(head), std::move(body), limits);
    co_return exchange;
}

awaitable<BufferedExchange> bufferedPost(HTTP::ConnectionPool& pool, std::shared_ptr<HTTP::ClientConnection> connection,
    std::string target, std::string body, BufferedGetLimits limits)
{
    HTTP::RequestHead head;
    head.method = "POST";
    head.target = std::move(target);
    head.contentLength = body.size();
    head.fields.add("Content-Type", "application/json");
    auto sharedBody = std::make_shared<std::string const>(std::move(body));
    auto exchange
        = co_await bufferedExchange(pool, std::move(connection), std::move(head), std::move(sharedBody), limits);
    co_return exchange;
}

}
