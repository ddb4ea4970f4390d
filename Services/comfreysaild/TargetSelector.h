#pragma once

#include "EntryRequest.h"
#include "LoadProber.h"
#include <random>

namespace Comfreysail::Daemon {

/// Selects the target of one send. Probes some of the eligible targets for their load first.
class TargetSelector {
public:
    TargetSelector(
        boost::asio::io_context&, LoadProber&, HTTP::ConnectionPool const&, EntryState&, std::string ownZone);

    /// Errors: NoTargetAvailable, or the reason of the request's stop signal.
    HTTP::awaitable<Core::Result<Traffic::RegisteredTarget>> select(EntryRequest&);

    /// After a pause of the process, waits until the rows are fresh again or the request ends.
    HTTP::awaitable<void> waitForFreshRows(EntryRequest&);

private:
    /// Probes targets in rounds until one is good enough, and returns the best one.
    HTTP::awaitable<Core::Result<Traffic::RegisteredTarget>> probeAndChoose(
        EntryRequest&, std::string const& healthPath, Traffic::PlacementRequest);
    HTTP::awaitable<Core::Result<Traffic::RegisteredTarget>> selectOnce(EntryRequest&);
    /// Decides about a request for which no target was chosen, and holds it if the decision says so. Returns true if it
    /// is to be tried again.
    HTTP::awaitable<bool> holdIfShort(EntryRequest&);
    size_t memberCount() const;
    /// Returns which of the eligible targets a round of probes prefers. The ids refer to `eligible`.
    Traffic::ProbePreference probePreference(
        EntryRequest const&, std::vector<Traffic::DirectoryEntry const*> const& eligible, bool isFirstRound);
    std::vector<Traffic::DirectoryEntry const*> eligibleTargets(EntryRequest const&) const;
    /// If all eligible targets are cold, returns one whose rate limit for cold targets allows another request.
    std::optional<Traffic::RegisteredTarget> coldTarget(EntryRequest const&);

    boost::asio::io_context& m_context;
    LoadProber& m_prober;
    HTTP::ConnectionPool const& m_pool;
    EntryState& m_state;
    std::string m_ownZone;
    std::mt19937_64 m_generator { std::random_device {}() };
};

}
