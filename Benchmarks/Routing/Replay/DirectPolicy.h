#pragma once

#include <Replay/Cluster.h>
#include <Replay/Policy.h>
#include <array>
#include <bitset>
#include <cstdint>
#include <random>
#include <vector>

namespace Comfreysail::RoutingReplay {

/// Policies in which the daemon that receives a request chooses the target itself.
class DirectPolicy final : public Policy {
public:
    enum class Kind : uint8_t {
        Random,
        RoundRobin,
        PowerOfTwo,    ///< By the daemon's own in-flight counts.
        LeastReported, ///< By the targets' reports every 20 ms plus the daemon's own sends since the last one.
        PerfectJoinShortestQueue, ///< By the true counts without delay; the bound that other policies are compared
                                  ///< with.
    };

    DirectPolicy(Kind, uint64_t seed);

    std::string name() const override;
    void start(Simulation&) override;
    void arrive(Simulation&, size_t request) override;
    void ended(Simulation&, size_t request, size_t target, bool isExpired) override;
    void zoneChanged(Simulation&, size_t daemon, size_t zone, bool isIn) override;
    MeasurementCost measurementCost() const override;

private:
    struct DaemonState {
        std::array<size_t, targetCount> ownInFlight {};
        std::array<size_t, targetCount> reported {};
        size_t lastTarget { 0 };
        std::bitset<zoneCount> zonesOut;
    };

    size_t choose(Simulation&, size_t daemon);
    size_t leastBy(size_t daemon, std::array<size_t, targetCount> const& counts);
    std::vector<size_t> usableTargets(DaemonState const&) const;
    void report(Simulation&);

    Kind m_kind;
    std::mt19937_64 m_generator;
    std::array<DaemonState, daemonCount> m_daemons;
    size_t m_reports { 0 };
};

}
