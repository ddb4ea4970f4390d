#pragma once

#include "EntryRequest.h"
#include "EntryState.h"
#include <optional>
#include <string>
#include <vector>

namespace Comfreysail::Daemon {

/// The place of a request in the queue of its service, from its first wait until its target is selected.
class PausePlace {
public:
    PausePlace(EntryState&, std::string const& service, Traffic::PausedRequest const&);
    ~PausePlace();
    PausePlace(PausePlace const&) = delete;
    PausePlace& operator=(PausePlace const&) = delete;

    uint64_t number() const { return m_number; }

private:
    PauseWaiters& m_waiters;
    uint64_t m_number;
};

/// Returns the pauses that limit the sends to the targets that the request could use; none if one of these targets can
/// be used without regard to a pause.
std::vector<Traffic::TargetPause> pausesOf(EntryState const&, EntryRequest const&, Core::Instant now);

/// Returns true if other requests that wait are sent before this one, and use all sends that the targets allow now.
bool isBehindOthers(EntryState const&, EntryRequest const&, std::optional<PausePlace> const&, Core::Instant now);

/// If the pauses of its targets are what keeps the request from being sent, decides whether it waits, and waits.
/// Returns whether it is to be tried again, or std::nullopt if it was refused for another reason. `selectionBeganAt` is
/// when the search that found no target began.
HTTP::awaitable<std::optional<bool>> waitForTargets(
    boost::asio::io_context&, EntryState&, EntryRequest&, std::optional<PausePlace>&, Core::Instant selectionBeganAt);

/// Counts the targets that a refused request could not use because of what they said, by reason. Returns them as
/// key=value pairs with the age of the oldest statement; empty if there are none.
std::string noteStatedExclusions(EntryState&, std::string const& service, Core::Instant now);

}
