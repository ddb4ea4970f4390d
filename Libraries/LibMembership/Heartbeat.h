#pragma once

#include <LibMembership/Member.h>
#include <cstdint>
#include <vector>

namespace Comfreysail::Membership {

/// A member and the highest value of its heartbeat counter, its beat, that the sender knows.
struct MemberEntry {
    Member member;
    uint64_t beat { 0 };

    bool operator==(MemberEntry const&) const = default;
};

/// Gossip message from one daemon to another. Merging is idempotent and does not depend on the order of arrival.
struct Heartbeat {
    MemberEntry sender;              ///< The sender itself. Its beat increases with every heartbeat.
    uint64_t settingsRevision { 0 }; ///< Settings revision that the sender uses.
    uint64_t viewHash { 0 };         ///< Hash of the names, incarnations and states of the members in `beats`.
    /// Low 16 bits of each member's beat, in name order. Valid only if the view hashes match.
    std::vector<uint16_t> beats;
    std::vector<MemberEntry> changes; ///< Members that changed recently; all members if `isFull`.
    bool isFull { false };

    bool operator==(Heartbeat const&) const = default;
};

/// A heartbeat and its destination as "address:port".
struct OutgoingHeartbeat {
    std::string endpoint;
    Heartbeat heartbeat;

    bool operator==(OutgoingHeartbeat const&) const = default;
};

}
