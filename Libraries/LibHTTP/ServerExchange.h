#pragma once

#include <LibCore/Result.h>
#include <LibHTTP/Message.h>
#include <LibHTTP/MessageReader.h>
#include <LibHTTP/ServerOptions.h>
#include <LibHTTP/TransferRate.h>
#include <LibHTTP/WaitingConnections.h>
#include <LibHTTP/Watchdog.h>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <span>
#include <string_view>

namespace Comfreysail::HTTP {

/// Reading and writing have separate watchdogs, because a streamed request body is read while the response is written.
struct ExchangeWatchdogs {
    std::shared_ptr<Watchdog> read;
    std::shared_ptr<Watchdog> write;
};

/// Whether further pipelined requests are read while a request is processed.
enum class PipeliningMode : uint8_t {
    Sequential, ///< The next request is read only after the response.
    ReadAhead   ///< Further requests are read and processed concurrently.
};

/// Callbacks from an exchange to the session of its connection.
struct SessionCallbacks {
    std::function<void()> onReadAhead;        ///< The next request may be read.
    std::function<void()> onCallerGone;       ///< The caller closed the connection or its sending side.
    std::function<bool()> mustClose;          ///< Whether a response that starts now has to close the connection.
    std::function<void(ClientWait)> onWait;   ///< What the exchange waits for from the client has changed.
    std::function<void(ClientLimit)> onLimit; ///< A limit on the client takes effect.
};

/// One request and its response on a server connection, as the handler sees it. All calls run on the strand of the
/// connection. Send functions return false if the response can no longer be delivered.
class ServerExchange {
public:
    ServerExchange(Stream&, RequestReader&, RequestHead, ExchangeWatchdogs const&, ServerOptions const&,
        asio::any_io_executor strand, SessionCallbacks);
    ~ServerExchange();
    ServerExchange(ServerExchange const&) = delete;
    ServerExchange& operator=(ServerExchange const&) = delete;

    RequestHead const& head() const { return m_head; }
    asio::any_io_executor const& strand() const { return m_strand; }

    /// Reports that a limit takes effect on this client, for the log and the metrics.
    void noteLimit(ClientLimit limit) { m_sessionCallbacks.onLimit(limit); }

    /// Reads the next part of the request body and returns its size in bytes, or 0 at the end of the body. The first
    /// call sends "100 Continue" if the caller waits for it. Errors: MalformedRequest, CallerGone.
    awaitable<Core::Result<size_t>> readBody(std::span<char> into);
    /// Makes a pending readBody(), if any, fail with CallerGone. The rest of the body is not read, so the connection
    /// closes after the response. No send may be in progress.
    void cancelPendingRead();
    bool isBodyFinished() const { return !m_head.hasBody() || m_reader.isFinished(); }

    /// Starts the response. The head is buffered until flush(), sendBody() or finish(), so that a short response needs
    /// one write. `head.keepAlive` can only make the connection close, not keep it open against the request.
    void startResponse(ResponseHead);
    awaitable<bool> flush();
    awaitable<bool> sendBody(std::string_view);
    /// Finishes the response. If fewer body bytes were sent than Content-Length states, aborts and returns false.
    awaitable<bool> finish();

    /// Sends a complete response.
    awaitable<bool> respond(ResponseHead, std::string_view body);

    /// Aborts the response by resetting the connection, so that the caller cannot mistake it for complete.
    void abort();

    /// Calls `onGone` on the strand when the caller closes the connection or only its sending side. Call it only after
    /// the request body was read completely. Pipelined bytes are received meanwhile, up to a limit, because unread
    /// bytes would hide the end of the stream.
    ///
    /// ReadAhead is for requests that may run even if their response cannot be delivered: an earlier response may close
    /// the connection, and the caller then sends them again.
    void watchCaller(std::function<void()> onGone, PipeliningMode = PipeliningMode::Sequential);
    void stopWatching();

    /// Waits until the responses to all earlier requests of the connection were sent. Returns false if this response
    /// can no longer be delivered. Send functions call it themselves; call it before running a non-idempotent request.
    awaitable<bool> waitForEarlierResponses();

    // Called by the session of the connection.

    /// Makes sending wait until noteEarlierResponsesSent(), because earlier requests have no response yet.
    void holdForEarlierResponses() { m_areEarlierResponsesSent = false; }
    void noteEarlierResponsesSent();
    /// Marks the response as undeliverable and calls onGone. Unlike abort(), leaves the connection open.
    void drop();
    bool isReadingAhead() const { return m_isReadingAhead && !willClose(); }
    /// Returns true once the response has started and closes the connection.
    bool willClose() const { return m_isStarted && !m_keepAlive; }

    /// Closes the connection after this response, for example because the daemon shuts down.
    void closeAfterResponse() { m_keepAlive = false; }

    bool isResponseStarted() const { return m_isStarted; }
    bool isResponseFinished() const { return m_isFinished; }
    bool mayKeepAlive() const { return m_keepAlive && m_isFinished && !m_isAborted; }

private:
    struct Watch;

    awaitable<bool> write(std::string_view first, std::string_view second = {}, std::string_view third = {});
    bool sendsBody() const;
    void waitForCallerInput();
    void waitForCallerClose();

    Stream& m_stream;
    RequestReader& m_reader;
    RequestHead m_head;
    ExchangeWatchdogs const& m_watchdogs;
    ServerOptions const& m_options;
    asio::any_io_executor m_strand;
    SessionCallbacks m_sessionCallbacks;
    asio::steady_timer m_earlierResponsesEvent;
    std::shared_ptr<Watch> m_watch;
    std::string m_unsentHead;
    std::optional<uint64_t> m_bodyBytesLeft;
    TransferRate m_sendRate;
    TransferRate m_readRate;
    bool m_isReceivingBody { false };
    bool m_areEarlierResponsesSent { true };
    bool m_isReadingAhead { false };
    bool m_isReading { false };
    bool m_isChunked { false };
    bool m_statusForbidsBody { false };
    bool m_keepAlive;
    bool m_mustSendContinue;
    bool m_isStarted { false };
    bool m_isFinished { false };
    bool m_isAborted { false };
};

}
