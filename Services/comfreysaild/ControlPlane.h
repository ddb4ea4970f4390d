#pragma once

#include "ControlPlaneOptions.h"
#include "PeerEvents.h"
#include "PeerMember.h"
#include "VersionChoice.h"
#include <LibCore/Core.h>
#include <LibHTTP/Asio.h>
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

/// The state that all daemons share without a leader: settings, members and moves. All functions may be called from any
/// thread; those marked "cheap" hold a lock at most for a pointer copy and may be called for each request.
class ControlPlane {
public:
    using SettingsPointer = std::shared_ptr<Settings::SettingsSnapshot const>;

    /// Timers and store calls run on the executor of `context`; messages to peers use a separate I/O thread.
    ControlPlane(boost::asio::io_context& context, ControlPlaneOptions, Store::StorePort const&, PeerEvents);
    ~ControlPlane();

    ControlPlane(ControlPlane const&) = delete;
    ControlPlane& operator=(ControlPlane const&) = delete;

    /// Error: PeerUnavailable, if the message port cannot be bound.
    Core::Result<Core::Empty> start();
    /// Tells the peers that this daemon is draining; it is then no longer eligible as a home.
    void beginDrain();
    /// Tells the peers that this daemon leaves permanently. Call it about 100 ms before stop(), so that the notice is
    /// sent.
    void leave();
    /// Stops the timers and the threads. The io_context must run or be destroyed afterwards.
    void stop();

    /// The current settings; nullptr before the first ones arrive. Cheap.
    SettingsPointer settings() const;
    /// Members eligible as a home, sorted by name, including this daemon if it is eligible. Cheap: shared and
    /// immutable.
    std::shared_ptr<std::vector<PeerMember> const> liveMembers() const;
    /// Increases when settings(), liveMembers(), zonesOut() or departmentsOut() change and tables derived from them
    /// must be rebuilt. Cheap.
    uint64_t generation() const;

    /// The reason to refuse new requests: SettingsUnavailable, Isolated (also just after the process was paused) or
    /// ShuttingDown; nullopt if this daemon may accept them. Cheap.
    std::optional<Core::ErrorKind> refusal() const;

    /// The version that serves a request. `uniform` is a random number in [0, 1), drawn once for each request so that a
    /// retry uses the same version. Cheap.
    VersionChoice versionFor(
        std::string_view service, std::string_view department, std::string_view route, double uniform) const;
    /// The availability zone that serves a request which would go to `zone`, after the moves between zones; an empty
    /// string means any other zone. Cheap.
    std::string zoneFor(std::string_view service, std::string_view zone, double uniform) const;
    /// The department whose settings and capacity share apply to a request of `department`, after the moves of
    /// departments. Cheap.
    std::string departmentFor(std::string_view service, std::string_view department, double uniform) const;
    /// Availability zones that receive no new requests: out in the settings, or moved away completely. Cheap.
    std::shared_ptr<std::set<std::string, std::less<>> const> zonesOut() const;
    /// Departments that left by a completed move and have no successor; their requests are refused. Cheap.
    std::shared_ptr<std::set<std::string, std::less<>> const> departmentsOut() const;

    /// Reports a finished send to a target as evidence for the running moves. Cheap if the service has no running move.
    void reportEvidence(Moves::Observation const&);
    void reportCrash(CrashNotice const&);
    /// Sends the load to the named daemons or, without names, to the reachable members of other availability zones.
    void reportLoad(LoadNotice const&, std::vector<std::string> const& recipients = {});

    /// Accepts settings that the operators' tool pushes while the store is down. They are adopted and offered to the
    /// peers if their revision is higher. Returns the revision once it is in force. Errors: InvalidSettings;
    /// RevisionConflict, with the current revision, if theirs is not higher.
    HTTP::awaitable<Core::Result<uint64_t>> pushSettings(
        uint64_t revision, std::string changeId, std::string hash, std::string toml);

    /// For /metrics and /status.
    std::string metricsText() const;
    std::string statusJson() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

}
