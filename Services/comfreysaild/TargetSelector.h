#pragma once

#include "EntryRequest.h"
#include "LoadAsker.h"
#include <random>

namespace Comfreysail::Daemon {

/// Selects the target of one send, after asking some of the eligible ones for their load.
class TargetSelector {
public:
    TargetSelector(LoadAsker&, EntryState&, std::string vmName, std::string ownZone);

    /// Errors: NoTargetAvailable, or the reason of the stop signal.
    HTTP::awaitable<Core::Result<Traffic::RegisteredTarget>> select(EntryRequest&);

private:
    /// One pass over the rounds of questions.
    HTTP::awaitable<Core::Result<Traffic::RegisteredTarget>> askAndChoose(
        EntryRequest&, std::string const& healthPath, Traffic::PlacementRequest const&);
    Traffic::PlacementRequest placementOf(EntryRequest const&);
    std::vector<Traffic::TargetRecord const*> eligibleTargets(EntryRequest const&) const;
    /// A cold target when all are cold and one has a request left.
    std::optional<Traffic::RegisteredTarget> coldTarget(EntryRequest const&);

    LoadAsker& m_asker;
    EntryState& m_state;
    std::string m_vmName;
    std::string m_ownZone;
    std::mt19937_64 m_generator { std::random_device {}() };
};

}
