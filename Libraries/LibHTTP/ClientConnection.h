#pragma once

#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <LibHTTP/Message.h>
#include <LibHTTP/MessageReader.h>
#include <LibHTTP/Stream.h>
#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <compare>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace Comfreysail::HTTP {

struct Endpoint {
    std::string address; ///< IP address.
    uint16_t port { 0 };

    auto operator<=>(Endpoint const&) const = default;
};

/// Writes the next part of a request body into the buffer and returns its size in bytes, or 0 at the end of the body.
using BodySource = std::function<awaitable<Core::Result<size_t>>(std::span<char>)>;

/// A connection to a target or another daemon. Carries one exchange at a time; all calls run on the strand of one
/// session.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
    /// Counts the connections that exist and are not closed. Shared by the connections of a pool.
    using OpenCount = std::shared_ptr<std::atomic<size_t>>;

    ClientConnection(asio::any_io_executor const&, Endpoint, ReadLimits, OpenCount = nullptr);
    ~ClientConnection() { leaveCount(); }
    ClientConnection(ClientConnection const&) = delete;
    ClientConnection& operator=(ClientConnection const&) = delete;

    Endpoint const& endpoint() const { return m_endpoint; }

    /// Error: ConnectFailed.
    awaitable<Core::Result<Core::Empty>> connect();

    /// Sends a request whose body is in memory. `body` must stay valid until the exchange ends or close() is called.
    /// A large body is sent while the response is read, because the target may answer before it has read all of it.
    /// Error: ConnectFailed if certainly no byte was sent. Other send errors are reported by readHead().
    awaitable<Core::Result<Core::Empty>> send(RequestHead const&, std::shared_ptr<std::string const> body);

    /// Sends a request whose body is read from `source` while the response is read. If the source returns an error, the
    /// connection is closed. The source is not called after close().
    awaitable<Core::Result<Core::Empty>> sendStreaming(RequestHead const&, BodySource source);

    /// Waits until the request body has been sent or sending it has failed.
    awaitable<void> waitForSender();

    awaitable<Core::Result<ResponseHead>> readHead(std::string_view requestMethod);
    awaitable<Core::Result<size_t>> readBody(std::span<char> into);

    /// Closes immediately; pending operations fail. Call it on the strand.
    void close();

    /// True if a byte of the current request may have been sent.
    bool hasSent() const { return m_hasSent; }
    bool isSending() const { return m_isSending; }
    bool hasBufferedBody() const { return !m_stream.received.isEmpty(); }

    /// True if the response was read completely, no bytes follow it, the target keeps the connection open, and there is
    /// room for the ids of further requests.
    bool isReusable() const;

    /// True if the idle connection is open and has received no bytes.
    bool isOpenWithoutInput() { return m_stream.isOpenWithoutInput(); }

    /// Time without a request after which the peer closes the connection, as it announced in `Keep-Alive` of its last
    /// response; nullopt if it did not.
    std::optional<Core::Duration> announcedIdleTimeout() const { return m_announcedIdleTimeout; }

    /// True if connect() failed because this process or VM lacked descriptors, ports or memory. It says nothing about
    /// the peer.
    bool hasFailedLocally() const { return m_hasFailedLocally; }
    /// True if connect() failed because nothing listens at the endpoint.
    bool wasRefused() const { return m_wasRefused; }

    /// Notes the hash of the id of a request that is going to be sent. Only the id tells a response from a late copy of
    /// an earlier one, so a connection must not carry the same id twice.
    void noteRequestId(uint64_t hash) { m_requestIds.push_back(hash); }
    bool hasCarried(uint64_t requestIdHash) const;

    Core::Instant openedAt() const { return m_openedAt; }
    /// The local port, which identifies the connection in logs and captures of the peer; 0 until it is connected.
    uint16_t localPort() const { return m_localPort; }
    std::optional<Core::Instant> lastResponseAt() const { return m_lastResponseAt; }
    void noteResponse(Core::Instant now) { m_lastResponseAt = now; }

private:
    awaitable<bool> write(std::string_view, std::string_view = {}, std::string_view = {});
    awaitable<void> sendBody(std::shared_ptr<std::string const>);
    awaitable<void> sendBodyFrom(BodySource, bool chunked);
    void leaveCount();
    void spawn(std::function<awaitable<void>()>, asio::any_io_executor const&);

    Endpoint m_endpoint;
    ReadLimits m_limits;
    OpenCount m_openCount; ///< nullptr once the connection is no longer counted.
    Stream m_stream;
    std::unique_ptr<ResponseReader> m_reader;
    bool m_hasFailedLocally { false };
    bool m_wasRefused { false };
    Core::Instant m_openedAt {};
    uint16_t m_localPort { 0 };
    std::vector<uint64_t> m_requestIds; ///< Hashes.
    std::optional<Core::Instant> m_lastResponseAt;
    std::optional<Core::Duration> m_announcedIdleTimeout;
    std::shared_ptr<asio::steady_timer> m_senderDone; ///< Never expires; cancelled when the body sender ends.
    bool m_hasSent { false };
    bool m_isSending { false };
    bool m_isClosed { false };
    bool m_targetKeepsAlive { false };
};

}
