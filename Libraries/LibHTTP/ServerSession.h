#pragma once

#include <LibHTTP/ResponseDelivery.h>
#include <LibHTTP/Server.h>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <optional>
#include <utility>

namespace Comfreysail::HTTP {

/// One connection of a client: reads its requests, passes them to the server's handler, and sends the responses in the
/// order of the requests. All calls but giveUp() and closeIfIdle() run on its strand. Private to LibHTTP.
class Server::Session : public std::enable_shared_from_this<Session> {
public:
    Session(std::shared_ptr<Server> server, tcp::socket socket, std::string address, asio::any_io_executor strand)
        : m_server(std::move(server))
        , m_address(std::move(address))
        , m_strand(std::move(strand))
        , m_stream(std::move(socket))
        , m_watchdogs { Watchdog::create(m_strand), Watchdog::create(m_strand) }
        , m_stateChanged(m_strand, asio::steady_timer::time_point::max())
    {
    }

    ~Session()
    {
        setDelivering(false);
        m_server->removeSession(*this);
    }
    Session(Session const&) = delete;
    Session& operator=(Session const&) = delete;

    uint64_t id() const { return reinterpret_cast<uintptr_t>(this); }
    std::string const& address() const { return m_address; }

    awaitable<void> run();

    /// Closes the connection if it still waits for its client as stated.
    void giveUp(ClientWait);

    /// Closes the connection if it has no request in progress and has received no byte of a next one. Waits until its
    /// client has the last response; a request that arrives meanwhile is served.
    void closeIfIdle();

private:
    void armClose(Core::Duration timeout);

    /// Ends the wait for a next request after the timeout, or later if the last response is still being delivered.
    /// Unlike a close, it does not lose a request that has just been received.
    void armIdleTimeout(Core::Duration timeout);

    /// Returns true while the client has not got all of the responses that were written, and reads on.
    bool updateDelivery(Core::Instant now);
    /// Whether this session counts among those of Server::deliveringConnections().
    void setDelivering(bool);
    /// Closes the lingering connection at `until`, or later if the last response is still being delivered.
    void lingerUntil(Core::Instant until);

    struct Request {
        Request(Server& server, Stream& stream)
            : server(server)
            , reader(stream, server.m_options.limits)
        {
        }
        ~Request()
        {
            server.m_headMemoryBytes -= headMemoryBytes;
            endAhead();
        }
        Request(Request const&) = delete;
        Request& operator=(Request const&) = delete;

        void beginAhead()
        {
            isAhead = true;
            ++server.m_requestsAhead;
        }
        void endAhead()
        {
            if (std::exchange(isAhead, false))
                --server.m_requestsAhead;
        }

        Server& server;
        RequestReader reader;
        std::optional<ServerExchange> exchange; ///< Set once the head has been read.
        size_t headMemoryBytes { 0 };
        bool isAhead { false }; ///< Is processed while an earlier request of the connection has no response.
    };

    void setWait(ClientWait);

    /// A connection with a request that may have been passed on to a target waits for its client only if that does not
    /// read the response.
    void noteExchangeWait(ClientWait);
    /// Records that the connection waits for a head, if nothing else is in progress.
    void noteReadingWait();
    void closeWhile(ClientWait);

    bool isIdle() const { return m_isReceiving && m_requestsInProgress.empty(); }

    void noteChange() { m_stateChanged.cancel(); }

    awaitable<void> waitUntil(std::function<bool()> isTrue);
    bool isReadingAhead() const;
    bool hasRoomAhead() const;
    bool mayReadNext() const { return m_requestsInProgress.empty() || (isReadingAhead() && hasRoomAhead()); }

    /// Waits until the next request may be read. Notices meanwhile that the caller has closed the connection.
    awaitable<void> waitToReadNext();

    /// Reads the head of the next request and starts to process it. Returns false if no further request will be read.
    awaitable<bool> readNext();

    /// Replaces the head by an error if a limit does not allow it, and otherwise counts what it takes.
    void checkLimits(Request&, Core::Result<RequestHead>& head);
    awaitable<void> serve(Request&);
    void dropRequests();

    /// The caller closed the connection or its sending side, so no response is delivered any more.
    void endAfterCallerClosed();

    /// A response closes the connection. Later pipelined requests get no response; the caller sends them again.
    void endAfterResponse();
    awaitable<bool> discardBody(ServerExchange& exchange);
    awaitable<void> sendErrorResponse(Core::Error);
    awaitable<void> lingerAndClose();

    std::shared_ptr<Server> m_server;
    std::string m_address;
    asio::any_io_executor m_strand;
    Stream m_stream;
    ExchangeWatchdogs m_watchdogs;
    asio::steady_timer m_stateChanged; ///< Cancelled when a member below changes. Expires only to check for a close.
    std::deque<std::shared_ptr<Request>> m_requestsInProgress; ///< In order of arrival.
    ClientWait m_wait { ClientWait::Nothing };
    bool m_isReceiving { false };
    bool m_isReadingHead { false };
    ResponseDelivery m_delivery;
    bool m_isDelivering { false };
    bool m_isEnding { false };           ///< No further request is read.
    bool m_lingersBeforeClose { false }; ///< Reads on for a while before closing.
};

}
