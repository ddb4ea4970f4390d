#pragma once

#include <LibCore/Time.h>
#include <LibHTTP/MessageReader.h>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace Comfreysail::HTTP {

/// A limit on clients that has taken effect.
enum class ClientLimit : uint8_t {
    Connections,           ///< A new connection was refused because no other could be given up.
    ConnectionsPerAddress, ///< A new connection was refused because its address has used up its share.
    GivenUp,               ///< A connection that waited for its client was closed to make room.
    Header,                ///< A head had too many bytes or fields.
    HeadMemory,            ///< There was no memory for a head with many fields.
    RequestsAhead,         ///< Pipelined requests were left unread until earlier ones have their responses.
    RequestsAtTargets,     ///< A request was refused because too many others hold a connection to a target.
    SendRate,              ///< A client sent its body too slowly.
    ReadRate,              ///< A client read its response too slowly.
    Descriptors,           ///< A connection could not be accepted; most likely there was no file descriptor.
};

/// The name of a limit in log lines and metrics.
std::string_view limitName(ClientLimit);

struct ServerOptions {
    std::string address { "127.0.0.1" };
    uint16_t port { 0 }; ///< 0 lets the system choose one.
    size_t maxConnections { 10'000 };
    /// Percentage of maxConnections that one address may have.
    unsigned addressSharePercent { 100 };
    /// Pipelined requests of one connection that are processed concurrently; further ones are read after a response.
    size_t maxRequestsInProgress { 16 };
    /// Of these, those of all connections that are not the first in their connection.
    size_t maxRequestsAhead { 100'000 };
    /// Memory for the heads of requests in progress.
    size_t maxHeadMemoryBytes { size_t { 64 } << 20 };
    /// Least rates, in bytes per second, averaged over the time that the server waits for the client. Such a transfer
    /// has stallTimeout for its start. 0 allows any rate.
    size_t minSendRate { 0 };
    size_t minReadRate { 0 };
    /// Requests are passed on only after their body is complete, so that a connection whose body arrives slowly may be
    /// given up to make room.
    bool receivesBodiesFirst { false };
    ReadLimits limits;
    Core::Duration headerTimeout { std::chrono::seconds(10) }; ///< From the first received bytes to the end of a head.
    Core::Duration idleTimeout { std::chrono::seconds(75) };   ///< For a connection that waits for a request.
    Core::Duration stallTimeout { std::chrono::seconds(30) };  ///< Without progress of a body.
    /// Called when a limit takes effect, with the client's address. Runs on the strand of a connection.
    std::function<void(ClientLimit, std::string const& address)> onLimit;
};

}
