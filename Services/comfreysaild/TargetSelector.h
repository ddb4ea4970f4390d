#pragma once

#include "EntryRequest.h"
#include "LoadAsker.h"
#include <random>

namespace Comfreysail::Daemon {

/// Selects the target of one send. Probes some of the eligible targets for their load first.
class TargetSelector {
public:
    TargetSelector(LoadAsker&, EntryState&, std::string vmName, std::string ownZone);

    /// Errors: NoTargetAvailable, or the reason of the request's stop signal.
    HTTP::awaitable<Core::Result<Traffic::RegisteredTarget>> select(EntryRequest&);

private:
    /// Probes targets in rounds until one is good enough, and returns the best one.
    HTTP::awaitable<Core::Result<Traffic::RegisteredTarget>> askAndChoose(
        EntryRequest&, std::string const& healthPath, Traffic::PlacementRequest const&);
    Traffic::PlacementRequest placementOf(EntryRequest const&);
    std::vector<Traffic::TargetRecord const*> eligibleTargets(EntryRequest const&) const;
    /// If all eligible targets are cold, returns one whose rate limit for cold targets allows another request.
    std::optional<Traffic::RegisteredTarget> coldTarget(EntryRequest const&);

    LoadAsker& m_asker;
    EntryState& m_state;
    std::string m_vmName;
    std::string m_ownZone;
    std::mt19937_64 m_generator { std::random_device {}() };
};

}
