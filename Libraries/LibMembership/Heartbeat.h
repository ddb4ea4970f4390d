#pragma once

#include <LibMembership/Member.h>
#include <cstdint>
#include <vector>

namespace Comfreysail::Membership {

/// A member with the highest heartbeat count that the sender knows of it.
struct MemberEntry {
    Member member;
    uint64_t beat { 0 };

    bool operator==(MemberEntry const&) const = default;
};

/// What one daemon tells another. Merging is idempotent and independent of the order of arrival.
struct Heartbeat {
    MemberEntry sender;               ///< The sender itself; its beat also numbers its heartbeats.
    uint64_t settingsRevision { 0 };  ///< In force at the sender.
    uint64_t viewHash { 0 };          ///< Of the names, incarnations and states of the members that `beats` lists.
    std::vector<uint16_t> beats;      ///< Low bits of each member's beat, in name order. Readable with the same view.
    std::vector<MemberEntry> changes; ///< Members that changed lately; all of them when `isFull`.
    bool isFull { false };

    bool operator==(Heartbeat const&) const = default;
};

/// A heartbeat and the "address:port" that it goes to.
struct OutgoingHeartbeat {
    std::string endpoint;
    Heartbeat heartbeat;

    bool operator==(OutgoingHeartbeat const&) const = default;
};

}
