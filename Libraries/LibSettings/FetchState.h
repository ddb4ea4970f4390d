#pragma once

#include <LibCore/Time.h>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Comfreysail::Settings {

/// What a daemon knows about where it can fetch newer settings.
struct FetchState {
    /// The newest revision that a peer announced.
    struct PeerRevision {
        uint64_t revision { 0 };
        std::optional<Core::Instant> askedAt; ///< Time of the latest request to the peer for this revision.

        bool operator==(PeerRevision const&) const = default;
    };

    uint64_t inForce { 0 }; ///< Revision in force; 0 if there is none.
    std::optional<Core::Instant> storeReadStartedAt;
    bool isStoreReadPending { false };
    std::map<std::string, PeerRevision, std::less<>> peers;

    bool operator==(FetchState const&) const = default;

    void noteStoreReadStarted(Core::Instant now);
    void noteStoreReadEnded();
    /// Records a peer's revision from a heartbeat or notice.
    void notePeerRevision(std::string_view peer, uint64_t revision);
    void notePeerAsked(std::string_view peer, Core::Instant now);
    /// Removes a peer that replied without a usable newer revision, or left.
    void forgetPeer(std::string_view peer);
    /// Records the revision that is now in force and removes announcements up to it.
    void noteAdopted(uint64_t revision);
};

}
