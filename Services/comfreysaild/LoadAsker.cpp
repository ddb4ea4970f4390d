#include "LoadAsker.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <charconv>
#include <platform/Platform.h>

namespace Comfreysail::Daemon {

using Core::Instant;
using HTTP::awaitable;
namespace asio = boost::asio;

namespace {

// A target answers this question at once; one that is silent for so long cannot take requests.
constexpr auto answerTimeout = std::chrono::milliseconds(250);
constexpr unsigned statusOk = 200;

std::optional<int64_t> wholeNumber(std::optional<std::string_view> text)
{
    int64_t number = 0;
    if (!text || std::from_chars(text->data(), text->data() + text->size(), number).ec != std::errc())
        return std::nullopt;
    return number;
}

}

struct LoadAsker::Round {
    asio::steady_timer timer;
    size_t open;
    std::function<bool()> isSatisfied;
};

LoadAsker::LoadAsker(asio::io_context& context, HTTP::ConnectionPool& pool, EntryState& state)
    : m_context(context)
    , m_pool(pool)
    , m_state(state)
{
}

awaitable<void> LoadAsker::ask(std::vector<std::string> const& targets, std::string healthPath,
    Core::Duration longestWait, std::function<bool()> isSatisfied)
{
    auto const round = std::make_shared<Round>(
        Round { asio::steady_timer(m_context, longestWait), targets.size(), std::move(isSatisfied) });
    for (auto const& target : targets)
        asio::co_spawn(m_context, askOne(target, healthPath, round), asio::detached);
    co_await round->timer.async_wait(HTTP::useTuple);
    // The request that asked may end before the last answer arrives.
    round->isSatisfied = nullptr;
}

awaitable<void> LoadAsker::askOne(std::string id, std::string healthPath, std::shared_ptr<Round> round)
{
    if (auto const* const record = m_state.directory.find(id)) {
        auto const target = record->target;
        HTTP::Endpoint const endpoint { target.address, target.port };
        auto const deadline = Core::monotonicNow() + answerTimeout;
        bool isAnswered = false;
        if (auto const pooled = m_pool.take(endpoint, HTTP::ReusePolicy::Any, Core::monotonicNow()))
            isAnswered = co_await exchange(pooled, target, healthPath, deadline);
        // A pooled connection may have gone silent or been closed while the target works.
        if (!isAnswered && Core::monotonicNow() < deadline + answerTimeout) {
            auto const fresh = m_pool.create(endpoint);
            isAnswered = co_await exchange(fresh, target, healthPath, Core::monotonicNow() + answerTimeout);
            if (!isAnswered)
                m_state.directory.noteFault(id, Traffic::TargetFault::Unreachable, Core::monotonicNow());
        }
    }
    --round->open;
    if (round->open == 0 || (round->isSatisfied && round->isSatisfied()))
        round->timer.cancel();
}

awaitable<bool> LoadAsker::answers(Traffic::RegisteredTarget target, std::string healthPath)
{
    auto const connection = m_pool.create({ target.address, target.port });
    auto const isAnswered = co_await exchange(connection, target, healthPath, Core::monotonicNow() + answerTimeout);
    co_return isAnswered;
}

awaitable<bool> LoadAsker::exchange(std::shared_ptr<HTTP::ClientConnection> const& connection,
    Traffic::RegisteredTarget const& target, std::string const& healthPath, Instant deadline)
{
    auto const executor = co_await asio::this_coro::executor;
    auto const watchdog = HTTP::Watchdog::create(executor);
    bool isLate = false;
    watchdog->arm(deadline, [&isLate, &connection] {
        isLate = true;
        connection->close();
    });
    bool isComplete = false;
    bool const isNew = connection->openedAt() == Instant {};
    Core::Result<Core::Empty> ready = Core::Empty {};
    if (isNew)
        ready = co_await connection->connect();
    if (!isError(ready)) {
        HTTP::RequestHead head;
        head.method = "GET";
        head.target = healthPath;
        head.fields.add("Host", target.address + ":" + std::to_string(target.port));
        ready = co_await connection->send(head, std::make_shared<std::string>());
    }
    if (!isError(ready)) {
        auto const response = co_await connection->readHead("GET");
        std::array<char, 1024> buffer {};
        bool isBodyRead = isError(response);
        while (!isBodyRead) {
            auto const size = co_await connection->readBody(buffer);
            isComplete = !isError(size) && valueOf(size) == 0;
            isBodyRead = isError(size) || valueOf(size) == 0;
        }
        if (isComplete)
            noteAnswer(target, valueOf(response));
    }
    watchdog->disarm();
    if (isComplete)
        m_pool.giveBack(connection, Core::monotonicNow());
    else
        m_pool.discard(connection, isLate);
    m_state.metrics.counter("comfreysail_load_questions_total", { { "answered", isComplete ? "true" : "false" } })
        .add();
    co_return isComplete;
}

void LoadAsker::noteAnswer(Traffic::RegisteredTarget const& target, HTTP::ResponseHead const& head)
{
    auto const& names = Platform::headerNames();
    auto const now = Core::monotonicNow();
    auto& directory = m_state.directory;
    auto const answeredId = head.fields.find(names.targetId);
    if (answeredId && *answeredId != target.id) {
        directory.noteFault(target.id, Traffic::TargetFault::OtherTarget, now);
        return;
    }
    if (head.status != statusOk) {
        directory.noteFault(target.id, Traffic::TargetFault::Unreachable, now);
        return;
    }
    if (auto const cold = wholeNumber(head.fields.find(names.coldMilliseconds)))
        directory.noteCold(target.id, std::chrono::milliseconds(*cold), now);
    auto const load = Traffic::parseTargetLoad(head.fields.find(names.load).value_or(""));
    if (load)
        directory.noteLoad(target.id, *load, now);
    else
        m_state.servicesWithoutLoad.insert(target.service);
}

}
