#pragma once

#include <LibCore/Core.h>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Comfreysail::Daemon {

/// Knows which fingerprints are in flight on which target instance, so that all of them become suspects when the
/// target ends. A target gets a new instance with the first send after a crash. Thread safe.
class CrashTracker {
public:
    /// One send; ends with noteEnded().
    struct Send {
        std::string target;
        std::string instance;
        uint64_t fingerprint { 0 };
    };

    Send noteSent(std::string const& target, uint64_t fingerprint, Core::WallTime now);
    void noteEnded(Send const&);

    /// The connection of a send ended without a response: returns the fingerprints in flight on the same instance,
    /// this one included.
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
