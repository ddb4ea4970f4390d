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
    Core::Instant nextCall; ///< When to call nextFetch() again, unless the state changes earlier.

    bool operator==(FetchStep const&) const = default;
};

inline constexpr Core::Duration storeReadInterval = std::chrono::seconds(1);

/// If a peer does not reply within this time, another one that has a newer revision is asked.
inline constexpr Core::Duration peerReplyTimeout = std::chrono::milliseconds(500);

/// Decides the next fetch. A store read starts every second, unless the previous one is still pending. While no read is
/// to be started, a peer that announced a higher revision than the one in force is asked.
FetchStep nextFetch(FetchState const&, Core::Instant now);

}
