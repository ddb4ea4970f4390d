#pragma once

#include <LibCore/Time.h>
#include <cstddef>
#include <cstdint>
#include <string>

namespace Comfreysail::Store {

struct HttpStoreOptions {
    std::string address; ///< IP address of the platform.
    uint16_t port { 0 };
    std::string subject { "the platform" }; ///< Name of the other side in error messages.
    /// A larger response is an error. The largest settings text is 4 MiB, and JSON escapes at most double it.
    size_t maxAnswerBytes { 16 * 1024 * 1024 };
    size_t maxIdleConnections { 4 };
    /// An idle connection is not reused after this time, because the platform may have closed it.
    Core::Duration maxIdleTime { std::chrono::seconds(5) };
    /// When a connection is closed, the operating system discards what it has not sent yet. Otherwise the bytes of a
    /// call that was given up may arrive seconds later, when a link works again.
    bool discardsUnsentBytes { false };
};

}
