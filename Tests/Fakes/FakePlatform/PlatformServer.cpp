#include "PlatformServer.h"
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <platform/Platform.h>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace Comfreysail::Fakes {

namespace {

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);
constexpr size_t maxBodyBytes = 64 * 1024 * 1024;
constexpr std::chrono::milliseconds pollInterval { 10 };

asio::awaitable<void> wait(std::chrono::milliseconds delay)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, delay);
    co_await timer.async_wait(useTuple);
}

}

PlatformServer::PlatformServer(
    asio::io_context& context, Endpoint main, std::optional<Endpoint> control, CallRates rates)
    : m_context(context)
    , m_main(std::move(main))
    , m_control(std::move(control))
    , m_mainAcceptor(context)
    , m_controlAcceptor(context)
    , m_calls(rates)
{
}

void PlatformServer::start()
{
    open(m_mainAcceptor, m_main);
    if (m_control)
        open(m_controlAcceptor, *m_control);
}

void PlatformServer::stop()
{
    m_isStopping = true;
    m_mainAcceptor.close();
    m_controlAcceptor.close();
    m_context.stop();
}

void PlatformServer::open(Acceptor& acceptor, Endpoint& endpoint)
{
    acceptor.open(endpoint.protocol());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen();
    endpoint = acceptor.local_endpoint();
    asio::co_spawn(m_context, accept(acceptor, &acceptor == &m_controlAcceptor), asio::detached);
}

asio::awaitable<void> PlatformServer::accept(Acceptor& acceptor, bool isControl)
{
    while (acceptor.is_open()) {
        auto [code, socket] = co_await acceptor.async_accept(useTuple);
        if (code == asio::error::operation_aborted)
            co_return;
        if (code) {
            // The usual cause is that file descriptors have run out. Retrying without a delay would use a whole core.
            co_await wait(pollInterval);
            continue;
        }
        boost::system::error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        auto stream = std::make_shared<Stream>(std::move(socket));
        if (!isControl) {
            std::erase_if(m_connections, [](auto const& connection) { return connection.expired(); });
            m_connections.push_back(stream);
        }
        asio::co_spawn(m_context, serve(std::move(stream), isControl), asio::detached);
    }
}

asio::awaitable<void> PlatformServer::serve(std::shared_ptr<Stream> stream, bool isControl)
{
    beast::flat_buffer buffer;
    while (stream->socket().is_open()) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(maxBodyBytes);
        auto const [readCode, unused] = co_await http::async_read(*stream, buffer, parser, useTuple);
        if (readCode)
            co_return;
        auto const request = parser.release();
        std::string const method(request.method_string());
        std::string const target(request.target());
        auto reply = runControlCall(method, target, request.body());
        if (!reply && isControl)
            reply
                = m_calls.run(method, target, request.body(), CallerRole::Operator, PlatformCalls::Clock::now(), true);
        boost::system::error_code unknown;
        auto caller = stream->socket().remote_endpoint(unknown).address().to_string();
        if (!reply)
            reply = co_await answer(method, target, request.body(), std::move(caller));
        if (!reply)
            co_return;
        http::response<http::string_body> response { static_cast<http::status>(reply->status), 11,
            std::move(reply->body) };
        response.set(http::field::content_type, reply->contentType);
        response.set(Platform::storeEraField, std::to_string(m_calls.era()));
        response.keep_alive(request.keep_alive());
        response.prepare_payload();
        auto const [writeCode, written] = co_await http::async_write(*stream, response, useTuple);
        if (writeCode || !request.keep_alive())
            co_return;
    }
}

/// Returns std::nullopt if the connection is to be closed without an answer.
asio::awaitable<std::optional<PlatformCalls::Answer>> PlatformServer::answer(
    std::string method, std::string target, std::string body, std::string caller)
{
    switch (m_faults.take(caller)) {
    case FaultSwitch::Mode::Down:
        co_return std::nullopt;
    case FaultSwitch::Mode::Hang:
        while (m_faults.mode == FaultSwitch::Mode::Hang)
            co_await wait(pollInterval);
        co_return std::nullopt;
    case FaultSwitch::Mode::Slow:
        co_await wait(m_faults.delay);
        break;
    case FaultSwitch::Mode::LoseAnswers: {
        auto reply = co_await runCall(method, target, body);
        if (PlatformCalls::isWrite(method))
            co_return std::nullopt;
        co_return reply;
    }
    case FaultSwitch::Mode::Late:
        if (PlatformCalls::isWrite(method)) {
            asio::co_spawn(
                m_context,
                [this, delay = m_faults.delay, method, target, body]() -> asio::awaitable<void> {
                    co_await wait(delay);
                    co_await runCall(method, target, body);
                },
                asio::detached);
            co_return std::nullopt;
        }
        break;
    case FaultSwitch::Mode::Busy:
        co_return PlatformCalls::Answer { 503, "{}" };
    case FaultSwitch::Mode::TooMany:
        co_return PlatformCalls::Answer { 429, "{}" };
    case FaultSwitch::Mode::Up:
        break;
    }
    auto reply = co_await runCall(method, target, body);
    co_return reply;
}

asio::awaitable<PlatformCalls::Answer> PlatformServer::runCall(std::string method, std::string target, std::string body)
{
    auto const until = PlatformCalls::Clock::now() + PlatformCalls::feedWaitTime(target);
    while (true) {
        auto const now = PlatformCalls::Clock::now();
        auto reply = m_calls.run(method, target, body, CallerRole::System, now, now >= until);
        if (reply)
            co_return *reply;
        co_await wait(pollInterval);
    }
}

std::optional<PlatformCalls::Answer> PlatformServer::runControlCall(
    std::string_view method, std::string_view target, std::string const& body)
{
    if (target == "/stats" && method == "GET")
        return PlatformCalls::Answer { 200, m_calls.stats(m_faults.modeName()) };
    if (target == "/drop-history" && method == "POST") {
        m_calls.dropHistory();
        return PlatformCalls::Answer { 200, "{}" };
    }
    if (target == "/keep-copy" && method == "POST") {
        m_calls.keepCopy();
        return PlatformCalls::Answer { 200, "{}" };
    }
    if (target == "/restore-copy" && method == "POST")
        return PlatformCalls::Answer { m_calls.restoreCopy() ? 200U : 409U, "{}" };
    if (target != "/faults" || method != "POST")
        return {};
    auto const faults = FaultSwitch::fromJson(body);
    if (!faults)
        return PlatformCalls::Answer { 400,
            R"({"error":"mode must be up, down, hang, slow, lose_answers, late, busy or too_many"})" };
    setFaults(*faults);
    return PlatformCalls::Answer { 200, m_calls.stats(m_faults.modeName()) };
}

void PlatformServer::setFaults(FaultSwitch faults)
{
    m_faults = std::move(faults);
    if (!m_control)
        return;
    if (m_faults.mode == FaultSwitch::Mode::Down) {
        m_mainAcceptor.close();
        for (auto const& connection : m_connections) {
            if (auto stream = connection.lock())
                stream->close();
        }
        m_connections.clear();
    } else if (!m_mainAcceptor.is_open() && !m_isStopping) {
        open(m_mainAcceptor, m_main);
    }
}

}
