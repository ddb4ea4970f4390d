#pragma once

#include <LibCore/Time.h>
#include <cstddef>

namespace Comfreysail::HTTP {

/// Enforces a least rate at which a client sends a body or reads a response. Only the time in which the server waits
/// for the client counts, so that waits of the server itself do not.
class TransferRate {
public:
    /// `stallTimeout` is the time without any progress that is allowed, and also what a transfer may take at the start.
    /// A rate of 0 bytes per second allows any.
    TransferRate(size_t leastBytesPerSecond, Core::Duration stallTimeout);

    /// Starts a wait for the client. Returns the time until which it has to make progress.
    Core::Instant begin(Core::Instant now);
    /// The client has sent or read this many bytes since the last call. Returns the new time limit, which is never
    /// earlier than the one before.
    Core::Instant note(size_t bytes, Core::Instant now);
    /// The server no longer waits for the client.
    void end(Core::Instant now);

private:
    Core::Instant deadline(Core::Instant now) const;

    size_t m_leastBytesPerSecond;
    Core::Duration m_stallTimeout;
    size_t m_bytes { 0 };
    Core::Duration m_waited {}; ///< Of the waits that have ended.
    Core::Instant m_begin {};
};

}
