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
    unsigned limit { 0 }; ///< Requests running or queued; more are shed. 0: four times the slots.
    uint64_t seed { 1 };
    double lookupMilliseconds { 5 }; ///< Mean service time.
    double orderMilliseconds { 10 };
    uint64_t downloadBytesPerSecond { 100'000'000 };
    std::chrono::milliseconds coldTime { 0 }; ///< Time from the start until the full limit is bearable.
    std::string executionsFile;               ///< Each execution is appended, so that the counts survive a crash.
};

/// Nothing when only help or usage was printed; exitCode is then set.
std::optional<TargetOptions> parseOptions(int argumentCount, char** arguments, int& exitCode);

}
