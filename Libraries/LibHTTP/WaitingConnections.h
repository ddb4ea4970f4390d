#pragma once

#include <LibCore/Time.h>
#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>

namespace Comfreysail::HTTP {

/// What a connection waits for from its client while no request of it is in the server's hands.
enum class ClientWait : uint8_t {
    Nothing,  ///< A request is being processed. The connection must not be given up.
    Close,    ///< The last response was sent; unread input is discarded before the connection closes.
    Head,     ///< Part of a request's head was received.
    Idle,     ///< No byte of a next request was received.
    Body,     ///< Part of a request's body was received. Nothing of the request has run.
    Response, ///< A write of a response is blocked because the client does not read.
};

struct WaitingConnection {
    uint64_t id { 0 };
    ClientWait wait { ClientWait::Nothing };
};

/// The connections of a server that wait for their clients, in the order in which the waits began. Decides which one is
/// given up when the server needs room. Each call takes constant time, up to a bounded search for an address.
class WaitingConnections {
public:
    /// Records what the connection waits for from now on.
    void note(uint64_t id, std::string const& address, ClientWait, Core::Instant now);
    void remove(uint64_t id);

    /// Removes and returns the connection to give up, or std::nullopt if none may be. The order is: connections that
    /// close anyway, incomplete heads that are late, idle connections, late bodies, responses that are not read, and
    /// incomplete heads; of each kind the oldest. With an address, only connections from it.
    std::optional<WaitingConnection> take(Core::Instant now, std::optional<std::string> const& address = std::nullopt);

    /// Removes and returns the connection that has not read its response for the longest time, if it is late.
    std::optional<WaitingConnection> takeUnreadResponse(Core::Instant now);

private:
    struct Entry {
        uint64_t id { 0 };
        std::string address;
        Core::Instant since {};
    };
    using Entries = std::list<Entry>;

    struct Place {
        ClientWait wait { ClientWait::Nothing };
        Entries::iterator entry;
    };

    std::optional<WaitingConnection> takeFrom(
        ClientWait, Core::Instant latestStart, std::optional<std::string> const& address);
    Entries& entriesOf(ClientWait wait) { return m_entries.at(static_cast<size_t>(wait)); }

    std::array<Entries, 6> m_entries; ///< By ClientWait, the oldest wait first.
    std::unordered_map<uint64_t, Place> m_places;
};

}
