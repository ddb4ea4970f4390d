#pragma once

#include <LibCore/Core.h>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Comfreysail::Daemon {

/// Tracks the fingerprints of the in-flight requests of each target instance, so that all of them become suspects when
/// the target crashes. The first send after a crash starts a new instance of the target. Thread safe.
class CrashTracker {
public:
    /// One send, from noteSent() to noteEnded().
    struct Send {
        std::string target;
        std::string instance;
        uint64_t fingerprint { 0 };
    };

    Send noteSent(std::string const& target, uint64_t fingerprint, Core::WallTime now);
    void noteEnded(Send const&);

    /// Call it when the connection of a send was lost without a response. Returns the fingerprints in flight on the
    /// same instance, including that of this send.
    std::vector<uint64_t> noteCrashed(Send const&);

private:
    struct Target {
        std::string instance;
        bool hasCrashed { false };
        std::multimap<std::string, uint64_t> inFlight; ///< Fingerprints by instance.
    };

    std::mutex m_mutex;
    std::map<std::string, Target, std::less<>> m_targets;
};

}
