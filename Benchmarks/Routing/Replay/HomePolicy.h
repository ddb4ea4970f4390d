#pragma once

#include <LibAdmission/Admission.h>
#include <LibRouting/Routing.h>
#include <Replay/Cluster.h>
#include <Replay/Policy.h>
#include <array>
#include <bitset>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace Comfreysail::RoutingReplay {

/// Dispatches through homes, as the daemons do. LibRouting and LibAdmission take all decisions; the policy only passes
/// requests and load reports between the homes.
class HomePolicy final : public Policy {
public:
    enum class Exchange : uint8_t {
        None,
        Spill, ///< Homes exchange load reports and spill requests to less loaded siblings.
    };

    HomePolicy(Exchange, uint64_t seed);

    std::string name() const override;
    void start(Simulation&) override;
    void arrive(Simulation&, size_t request) override;
    void ended(Simulation&, size_t request, size_t target, bool isExpired) override;
    void zoneChanged(Simulation&, size_t daemon, size_t zone, bool isIn) override;
    MeasurementCost measurementCost() const override;

private:
    struct Home {
        size_t daemon { 0 };
        Routing::GroupKey key;
        std::unique_ptr<Routing::TargetGroup> group;
        Admission::AdmissionQueue queue;
        std::unique_ptr<Routing::SpillSelector> spill;
        std::unique_ptr<Routing::LoadReportScheduler> reports;
        std::bitset<zoneCount> zonesOut;
        size_t reportBytes { 0 };
    };

    /// A request that has arrived and not ended.
    struct OpenRequest {
        size_t home { 0 };                ///< Zone of the home that dispatches it.
        Core::Duration returnDelay { 0 }; ///< Network delay from that home to the daemon of the caller.
        std::optional<size_t> spilledBy;  ///< Zone of the home that forwarded it.
        Core::Instant spilledAt;
        Admission::Ticket ticket;
        Core::Instant sentAt;
    };

    void createHome(size_t zone, size_t daemon, Core::Instant now);
    size_t zoneFor(Simulation const&, size_t request) const;
    void receive(Simulation&, size_t request);
    std::optional<size_t> zoneToSpillTo(Simulation const&, size_t zone, std::optional<size_t> request);
    void spillWaiting(Simulation&, size_t zone);
    void forwardToHome(Simulation&, size_t request, size_t zone);
    void dispatchQueued(Simulation&, size_t zone);
    void refuse(Simulation&, size_t request);
    void noteAnswer(Simulation&, size_t request, size_t target, bool isExpired);
    void end(Simulation&, size_t request);
    void tick(Simulation&, size_t zone);
    void deliver(Simulation&, size_t from, Routing::LoadReport const&);
    Routing::GroupLoad loadOf(Home const&, Core::Instant now) const;

    Exchange m_exchange;
    uint64_t m_seed;
    std::array<Home, zoneCount> m_homes;
    std::array<std::bitset<zoneCount>, daemonCount> m_zonesOut; ///< Zones out of service, as known to each daemon.
    std::unordered_map<size_t, OpenRequest> m_open;
};

}
