#pragma once

#include "ControlPlaneOptions.h"
#include "PeerEvents.h"
#include "PeerMember.h"
#include "VersionChoice.h"
#include <LibCore/Core.h>
#include <LibMoves/Observation.h>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace Comfreysail::Settings {
struct SettingsSnapshot;
}

namespace Comfreysail::Store {
struct StorePort;
}

namespace Comfreysail::Daemon {

/// What every daemon agrees on without a leader: settings, members, moves. All functions may be called from any thread;
/// those marked "cheap" take no lock for longer than a pointer copy and may be called for each request.
class ControlPlane {
public:
    using SettingsPointer = std::shared_ptr<Settings::SettingsSnapshot const>;

    /// Timers and store calls run on the executor of `context`; peers are reached through an I/O thread of its own.
    ControlPlane(boost::asio::io_context& context, ControlPlaneOptions, Store::StorePort const&, PeerEvents);
    ~ControlPlane();

    ControlPlane(ControlPlane const&) = delete;
    ControlPlane& operator=(ControlPlane const&) = delete;

    /// Errors: PeerUnavailable, when the message port cannot be bound.
    Core::Result<Core::Empty> start();
    /// Tells the peers that this daemon drains; it is no longer eligible as a home.
    void beginDrain();
    /// Tells the peers that this daemon leaves for good; call it some 100 ms before stop().
    void leave();
    /// Stops the timers and the threads. The io_context must run or be destroyed afterwards.
    void stop();

    /// Settings in force, or nullptr before the first ones. Cheap.
    SettingsPointer settings() const;
    /// Members that may be a home, in name order, including this daemon when it may. Cheap: shared and immutable.
    std::shared_ptr<std::vector<PeerMember> const> liveMembers() const;
    /// Grows when liveMembers(), settings() or the outs change, so that derived tables need a rebuild. Cheap.
    uint64_t generation() const;

    /// Why this daemon may not take new work, or nothing when it may: SettingsUnavailable, Isolated (also just after a
    /// pause), ShuttingDown. Cheap.
    std::optional<Core::ErrorKind> refusal() const;

    /// The version that serves a request. `uniform` is a random number in [0, 1), drawn once for each request so that a
    /// retry stays on its version. Cheap.
    VersionChoice versionFor(
        std::string_view service, std::string_view department, std::string_view route, double uniform) const;
    /// The availability zone whose group serves a request that would go to `zone`, by the moves between zones; empty
    /// for any other zone. Cheap.
    std::string zoneFor(std::string_view service, std::string_view zone, double uniform) const;
    /// The department whose settings and share apply to a request of `department`, by the moves of departments. Cheap.
    std::string departmentFor(std::string_view service, std::string_view department, double uniform) const;
    /// Availability zones that receive no new work: out in the settings, or moved away completely. Cheap.
    std::shared_ptr<std::set<std::string, std::less<>> const> zonesOut() const;
    /// Departments that left by a completed move and have no successor; their requests are refused. Cheap.
    std::shared_ptr<std::set<std::string, std::less<>> const> departmentsOut() const;

    /// One finished send to a target. Cheap when the service has no running move.
    void reportEvidence(Moves::Observation const&);
    void reportCrash(CrashNotice const&);
    /// Sent to the daemons named, or without names to the live members of other availability zones.
    void reportLoad(LoadNotice const&, std::vector<std::string> const& recipients = {});

    /// Settings that the operators' tool hands over while the store is down: adopted when the revision is higher, and
    /// told to the peers. Errors: InvalidSettings, RevisionConflict (not higher, with the revision in force).
    Core::Result<uint64_t> pushSettings(uint64_t revision, std::string changeId, std::string hash, std::string toml);

    /// For /metrics and /status.
    std::string metricsText() const;
    std::string statusJson() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

}
