#pragma once

#include <LibCore/Time.h>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Comfreysail::Settings {

/// What a daemon knows about sources of newer settings.
struct FetchState {
    /// What one peer announced.
    struct PeerRevision {
        uint64_t revision { 0 };
        std::optional<Core::Instant> askedAt; ///< Latest request to it for this revision.

        bool operator==(PeerRevision const&) const = default;
    };

    uint64_t inForce { 0 }; ///< Revision in force; 0 when there is none.
    std::optional<Core::Instant> storeReadStartedAt;
    bool isStoreReadPending { false };
    std::map<std::string, PeerRevision, std::less<>> peers;

    bool operator==(FetchState const&) const = default;

    void noteStoreReadStarted(Core::Instant now);
    void noteStoreReadEnded();
    /// A heartbeat or notice stated the peer's revision.
    void notePeerRevision(std::string_view peer, uint64_t revision);
    void notePeerAsked(std::string_view peer, Core::Instant now);
    /// The peer replied without a usable newer revision, or left.
    void forgetPeer(std::string_view peer);
    /// A revision is in force now; announcements up to it are dropped.
    void noteAdopted(uint64_t revision);
};

}
