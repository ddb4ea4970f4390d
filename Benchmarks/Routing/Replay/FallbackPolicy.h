#pragma once

#include <LibRouting/Routing.h>
#include <Replay/Cluster.h>
#include <Replay/Policy.h>
#include <array>
#include <memory>
#include <vector>

namespace Comfreysail::RoutingReplay {

/// Every daemon dispatches to all targets itself, as LibRouting does while the home is unreachable.
class FallbackPolicy final : public Policy {
public:
    explicit FallbackPolicy(uint64_t seed);

    std::string name() const override;
    void start(Simulation&) override;
    void arrive(Simulation&, size_t request) override;
    void ended(Simulation&, size_t request, size_t target, bool isExpired) override;
    void zoneChanged(Simulation&, size_t daemon, size_t zone, bool isIn) override;

private:
    void replaceTargets(size_t daemon, Core::Instant now);

    uint64_t m_seed;
    std::array<std::unique_ptr<Routing::TargetGroup>, daemonCount> m_groups;
    std::array<std::array<bool, zoneCount>, daemonCount> m_zoneIsOut {};
    std::vector<Core::Instant> m_sentAt; ///< Indexed by request.
};

}
