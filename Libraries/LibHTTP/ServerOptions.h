#pragma once

#include <LibCore/Time.h>
#include <LibHTTP/MessageReader.h>
#include <cstdint>
#include <string>

namespace Comfreysail::HTTP {

struct ServerOptions {
    std::string address { "127.0.0.1" };
    uint16_t port { 0 }; ///< 0 lets the system choose one.
    size_t maxConnections { 10'000 };
    ReadLimits limits;
    Core::Duration headerTimeout { std::chrono::seconds(10) }; ///< From the first received bytes to the end of a head.
    Core::Duration idleTimeout { std::chrono::seconds(75) };   ///< For a connection that waits for a request.
    Core::Duration stallTimeout { std::chrono::seconds(30) };  ///< For one read or write of a body.
};

}
