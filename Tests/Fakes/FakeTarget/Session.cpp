#include "Session.h"
#include <TestContent/TestContent.h>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <iostream>

namespace Comfreysail::Fakes {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Core::ErrorKind;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);
constexpr uint64_t maxBodyBytes = 64ULL << 20U;
constexpr size_t downloadPiece = 64 * 1024;

std::string_view view(boost::core::string_view text) { return { text.data(), text.size() }; }

std::string_view field(Request const& request, std::string_view name) { return view(request[name]); }

std::optional<int64_t> parseNumber(std::string_view text)
{
    int64_t value = 0;
    auto const result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (result.ec != std::errc {} || result.ptr != text.data() + text.size())
        return std::nullopt;
    return value;
}

/// Returns the first byte of a range such as bytes=100-, the only form that a resumed download needs. Returns
/// std::nullopt if the whole content must be sent.
std::optional<uint64_t> rangeStart(Request const& request, std::string_view tag, uint64_t length)
{
    auto const range = view(request[http::field::range]);
    if (!range.starts_with("bytes=") || !range.ends_with("-"))
        return std::nullopt;
    auto const condition = view(request[http::field::if_range]);
    if (!condition.empty() && condition != tag)
        return std::nullopt;
    auto const first = parseNumber(range.substr(6, range.size() - 7));
    if (!first || *first < 0 || static_cast<uint64_t>(*first) >= length)
        return std::nullopt;
    return static_cast<uint64_t>(*first);
}

bool isControlPath(std::string_view path)
{
    return path == "/health" || path == "/load" || path == "/executions" || path == "/faults";
}

/// Serves one connection.
class Session : public std::enable_shared_from_this<Session> {
public:
    Session(TargetState& state, asio::ip::tcp::socket socket)
        : m_state(state)
        , m_socket(std::move(socket))
        , m_workTimer(state.context)
        , m_generation(state.faults.silentGeneration)
    {
    }

    asio::awaitable<void> run()
    {
        auto const self = shared_from_this();
        m_socket.set_option(asio::ip::tcp::no_delay(true));
        bool keepAlive = true;
        while (keepAlive) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(maxBodyBytes);
            auto const [error, size] = co_await http::async_read(m_socket, m_buffer, parser, useTuple);
            if (error)
                break;
            if (isSilent())
                co_await stayOpen();
            auto const request = parser.release();
            keepAlive = co_await answer(request) && request.keep_alive();
        }
        beast::error_code ignored;
        m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    }

private:
    bool isSilent() const { return m_generation != m_state.faults.silentGeneration; }

    asio::awaitable<void> stayOpen()
    {
        asio::steady_timer timer(m_state.context, asio::steady_timer::time_point::max());
        co_await timer.async_wait(useTuple);
    }

    /// Returns true if the connection can be reused.
    asio::awaitable<bool> answer(Request const& request)
    {
        auto const path = view(request.target());
        if (isControlPath(path))
            co_return co_await answerControl(request, path);
        if (!m_state.enter(Core::monotonicNow()))
            co_return co_await refuse(request, ErrorKind::TargetShedRequest);
        bool const result = co_await runInSlot(request, path);
        m_state.leave();
        co_return result;
    }

    asio::awaitable<bool> answerControl(Request const& request, std::string_view path)
    {
        auto const now = Core::monotonicNow();
        Response response { http::status::ok, request.version() };
        if (path == "/health") {
            bool const isHealthy = now < m_state.faults.lieUntil || !m_state.faults.isDraining;
            response.result(isHealthy ? http::status::ok : http::status::service_unavailable);
            response.body() = std::string(isHealthy ? "serving" : "draining") + "\n";
        } else if (path == "/load") {
            response.body() = m_state.loadJson(now) + "\n";
        } else if (path == "/executions") {
            response.body() = m_state.executionsJson() + "\n";
        } else {
            bool const isValid = request.method() == http::verb::post && m_state.faults.apply(request.body(), now);
            response.result(isValid ? http::status::ok : http::status::bad_request);
        }
        // The "silent" fault applies to all connections but the one that switched it on.
        m_generation = m_state.faults.silentGeneration;
        co_return co_await write(request, response);
    }

    asio::awaitable<bool> refuse(Request const& request, ErrorKind kind)
    {
        auto const& rule = Core::errorRule(kind);
        Response response { http::status::service_unavailable, request.version() };
        response.set(Core::Header::outcome, "not-run");
        // The target does not set the error kind of a shed request; the daemon adds it.
        if (kind == ErrorKind::StartDeadlinePassed)
            response.set(Core::Header::error, rule.name);
        response.body() = std::string(rule.message) + "\n";
        co_return co_await write(request, response);
    }

    asio::awaitable<bool> runInSlot(Request const& request, std::string_view path)
    {
        watchForClose();
        if (auto const waiter = m_state.takeSlot()) {
            m_waiting = waiter;
            if (!waiter->isGranted && !m_isClosed)
                co_await waiter->timer.async_wait(useTuple);
            m_waiting.reset();
            if (m_isClosed) {
                ++m_state.cancelledCount;
                m_state.abandonWait(waiter);
                co_return false;
            }
        }
        bool const result = co_await execute(request, path);
        m_state.freeSlot();
        stopWatching();
        co_return result;
    }

    asio::awaitable<bool> execute(Request const& request, std::string_view path)
    {
        auto const now = Core::monotonicNow();
        auto const startBy = parseNumber(field(request, Core::Header::startBy));
        if (startBy && Core::wallNow() > Core::fromUnixMilliseconds(*startBy)) {
            ++m_state.lateCount;
            stopWatching();
            co_return co_await refuse(request, ErrorKind::StartDeadlinePassed);
        }
        bool const isOrder = request.method() == http::verb::post;
        if (isOrder)
            m_state.recordExecution(std::string(field(request, Core::Header::idempotencyKey)));
        if (path.starts_with("/poison/") && m_state.faults.crashesOnPoison) {
            std::cout << "event=crash target=" << m_state.options.name << " path=" << path << std::endl;
            std::_Exit(3);
        }
        bool const isBad
            = m_state.failsFast(now) || (!m_state.faults.badRoute.empty() && path.starts_with(m_state.faults.badRoute));
        if (!isBad)
            co_await work(isOrder ? m_state.options.orderMilliseconds : m_state.options.lookupMilliseconds);
        if (isSilent())
            co_await stayOpen();
        if (m_isClosed) {
            ++m_state.cancelledCount;
            co_return false;
        }
        stopWatching();
        if (Core::monotonicNow() < m_state.faults.resetUntil) {
            m_socket.set_option(asio::socket_base::linger(true, 0));
            m_socket.close();
            co_return false;
        }
        if (!isBad && path.starts_with("/download/"))
            co_return co_await sendDownload(request, path);
        auto const checksum = TestContent::requestChecksum(view(request.method_string()), path, request.body());
        Response response { isOrder ? http::status::created : http::status::ok, request.version() };
        if (isBad)
            response.result(http::status::internal_server_error);
        response.body() = TestContent::answerBody(field(request, Core::Header::requestId), checksum);
        co_return co_await write(request, response);
    }

    asio::awaitable<void> work(double meanMilliseconds)
    {
        m_workTimer.expires_after(m_state.drawServiceTime(meanMilliseconds, Core::monotonicNow()));
        if (!m_isClosed)
            co_await m_workTimer.async_wait(useTuple);
    }

    template<typename Message> void setCommonFields(Request const& request, Message& response)
    {
        auto const path = view(request.target());
        response.set(Core::Header::requestId, field(request, Core::Header::requestId));
        response.set(Core::Header::load, m_state.loadHeader(Core::monotonicNow()));
        response.set(TestContent::targetHeader, m_state.options.name);
        auto const& options = m_state.options;
        if (!options.leaving.empty())
            response.set("Server-Leaving", options.leaving);
        if (!options.limitField.empty())
            response.set("Server-Limit", options.limitField);
        if (!options.retryAfter.empty() && response.result() == http::status::service_unavailable)
            response.set(http::field::retry_after, options.retryAfter);
        response.set(TestContent::checksumHeader,
            TestContent::requestChecksum(view(request.method_string()), path, request.body()));
        response.keep_alive(request.keep_alive());
    }

    asio::awaitable<bool> write(Request const& request, Response& response)
    {
        setCommonFields(request, response);
        response.prepare_payload();
        bool const isCut = Core::monotonicNow() < m_state.faults.cutUntil
            && response.result() < http::status::bad_request && !isControlPath(view(request.target()));
        if (isCut)
            response.body().resize(response.body().size() / 2); // Content-Length still states the full length.
        http::response_serializer<http::string_body> serializer(response);
        auto const [error, size] = co_await http::async_write(m_socket, serializer, useTuple);
        co_return !error && !isCut;
    }

    asio::awaitable<bool> sendDownload(Request const& request, std::string_view path)
    {
        auto const length = TestContent::downloadLength(path);
        auto const tag = TestContent::downloadTag(path);
        auto const start = rangeStart(request, tag, length);
        auto offset = start.value_or(0);
        http::response<http::empty_body> head { start ? http::status::partial_content : http::status::ok,
            request.version() };
        setCommonFields(request, head);
        head.set(http::field::etag, tag);
        head.set(http::field::accept_ranges, "bytes");
        if (start)
            head.set(http::field::content_range,
                "bytes " + std::to_string(offset) + "-" + std::to_string(length - 1) + "/" + std::to_string(length));
        head.content_length(length - offset);
        http::response_serializer<http::empty_body> serializer(head);
        auto const [headError, headSize] = co_await http::async_write_header(m_socket, serializer, useTuple);
        if (headError)
            co_return false;
        bool const isCut = Core::monotonicNow() < m_state.faults.cutUntil;
        auto const end = isCut ? offset + (length - offset) / 2 : length;
        std::vector<char> piece(downloadPiece);
        while (offset < end && request.method() != http::verb::head) {
            auto const size = std::min<uint64_t>(piece.size(), end - offset);
            TestContent::fillDownload(path, offset, { piece.data(), size });
            auto const [error, written]
                = co_await asio::async_write(m_socket, asio::buffer(piece.data(), size), useTuple);
            if (error)
                co_return false;
            if (isSilent())
                co_await stayOpen();
            offset += size;
            m_workTimer.expires_after(
                std::chrono::microseconds(size * 1'000'000 / m_state.options.downloadBytesPerSecond));
            co_await m_workTimer.async_wait(useTuple);
        }
        co_return !isCut;
    }

    /// Cancels the request if the caller closes the connection while it is queued or running.
    void watchForClose()
    {
        m_isWatching = true;
        m_socket.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](beast::error_code error) {
            if (error || !self->m_isWatching)
                return;
            std::array<char, 1> byte {};
            beast::error_code peekError;
            self->m_socket.receive(asio::buffer(byte), asio::socket_base::message_peek, peekError);
            // Readable data means a pipelined request, not a close.
            if (!peekError)
                return;
            self->m_isClosed = true;
            self->m_workTimer.cancel();
            if (self->m_waiting)
                self->m_waiting->timer.cancel();
        });
    }

    void stopWatching()
    {
        if (!std::exchange(m_isWatching, false))
            return;
        beast::error_code ignored;
        m_socket.cancel(ignored);
    }

    TargetState& m_state;
    asio::ip::tcp::socket m_socket;
    beast::flat_buffer m_buffer;
    asio::steady_timer m_workTimer;
    std::shared_ptr<SlotWaiter> m_waiting;
    unsigned m_generation;
    bool m_isWatching { false };
    bool m_isClosed { false };
};

}

asio::awaitable<void> acceptConnections(TargetState& state, asio::ip::tcp::acceptor& acceptor)
{
    for (;;) {
        auto [error, socket] = co_await acceptor.async_accept(useTuple);
        if (error)
            continue;
        auto const session = std::make_shared<Session>(state, std::move(socket));
        asio::co_spawn(state.context, session->run(), asio::detached);
    }
}

}
