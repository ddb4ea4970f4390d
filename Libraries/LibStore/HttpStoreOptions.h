#pragma once

#include <LibCore/Time.h>
#include <cstddef>
#include <cstdint>
#include <string>

namespace Comfreysail::Store {

struct HttpStoreOptions {
    std::string address; ///< IP address of the platform.
    uint16_t port { 0 };
    std::string subject { "the platform" }; ///< Named in error texts.
    /// A larger answer is an error. The largest settings text is 4 MiB, and JSON at most doubles it.
    size_t maxAnswerBytes { 16 * 1024 * 1024 };
    size_t maxIdleConnections { 4 };
    /// An idle connection is not reused after this time, because the platform may have closed it meanwhile.
    Core::Duration maxIdleTime { std::chrono::seconds(5) };
};

}
