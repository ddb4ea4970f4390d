#pragma once

#include <LibCore/Time.h>
#include <LibSettings/FetchState.h>
#include <cstdint>
#include <string>

namespace Comfreysail::Settings {

/// What a daemon fetches next.
struct FetchStep {
    enum class Action : uint8_t { Wait, ReadStore, AskPeer };

    Action action { Action::Wait };
    std::string peer;       ///< For AskPeer.
    Core::Instant nextCall; ///< When to ask again, unless something is noted in the state before.

    bool operator==(FetchStep const&) const = default;
};

inline constexpr Core::Duration storeReadInterval = std::chrono::seconds(1);

/// A peer that does not reply within this time is passed over for another that has a newer revision.
inline constexpr Core::Duration peerReplyTimeout = std::chrono::milliseconds(500);

/// Decides the next fetch. The store is read every second whether or not it responds. A peer is asked as soon as one
/// announces a higher revision than the one in force and the store has not delivered it on its latest read.
FetchStep nextFetch(FetchState const&, Core::Instant now);

}
