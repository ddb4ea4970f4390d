#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace Comfreysail::Fakes {

struct TargetOptions {
    std::string host { "127.0.0.1" };
    uint16_t port { 0 };
    std::string name { "target" };
    std::string zone { "pos-hall" };
    std::string versionName { "v1" };
    unsigned slots { 2 };
    unsigned limit { 0 }; ///< Running and queued requests above this are shed; 0 means four times the slots.
    uint64_t seed { 1 };
    double lookupMilliseconds { 5 }; ///< Mean service time of a lookup.
    double orderMilliseconds { 10 }; ///< Mean service time of an order.
    uint64_t downloadBytesPerSecond { 100'000'000 };
    /// Warm-up time. The number of concurrent requests that the target can take grows to the limit over it.
    std::chrono::milliseconds coldTime { 0 };
    /// Values of fields in which the target says something of itself. They are sent as they are, so that invalid ones
    /// can be played; empty for none.
    std::string leaving;        ///< Server-Leaving, in every response.
    std::string limitField;     ///< Server-Limit, in every response.
    std::string retryAfter;     ///< Retry-After, in every refusal.
    std::string executionsFile; ///< File that executions are appended to, so that the counts survive a crash.
};

/// Returns std::nullopt and sets exitCode if the help was printed or the arguments are not valid.
std::optional<TargetOptions> parseOptions(int argumentCount, char** arguments, int& exitCode);

}
