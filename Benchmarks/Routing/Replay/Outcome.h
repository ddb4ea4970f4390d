#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <string>

namespace Comfreysail::RoutingReplay {

/// The result of replaying one scenario with one policy.
struct Outcome {
    std::string policy;
    std::string scenario;
    double load { 0 };
    Core::Duration median { 0 };
    Core::Duration p99 { 0 };
    Core::Duration p999 { 0 };
    Core::Duration p99OfOthers { 0 }; ///< Of all departments except department 0.
    double refusedShareOfOthers { 0 };
    double refusedShare { 0 };
    double measurementBytesPerSecond { 0 }; ///< At the daemon with the most traffic, sent and received.
    double processorMicrosecondsPerRequest { 0 };
    size_t mostWhileCold { 0 }; ///< Most concurrent requests on a cold target.
    uint64_t decisions { 0 };   ///< Hash of all targets, times and refusals; equal runs have equal hashes.

    bool operator==(Outcome const&) const = default;
};

}
