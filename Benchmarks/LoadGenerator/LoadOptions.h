#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Comfreysail::Benchmarks {

struct LoadOptions {
    std::vector<std::string> daemons; ///< host:port of each daemon; calls are spread over them.
    std::vector<std::string> targets; ///< host:port of each target, to read execution counts from.
    bool targetDirect { false };      ///< Send to the targets instead of the daemons.
    std::vector<std::string> departments { "registry" };
    std::string host { "orders.example" };
    std::string downloadHost; ///< Same as host if empty.
    double rate { 100 };      ///< Calls per second of all kinds but poison calls.
    std::chrono::seconds duration { 10 };
    double orderShare { 0.2 };
    double downloadShare { 0.02 };
    uint64_t downloadBytes { 1'000'000 };
    double poisonRate { 0 };    ///< Calls per second that crash the target that runs them.
    unsigned poisonPaths { 1 }; ///< Number of different paths of these calls.
    std::chrono::milliseconds timeout { 5000 };
    unsigned orderAttempts { 6 }; ///< Most sends of an order that is refused or whose outcome is unknown.
    uint64_t seed { 1 };
    std::vector<std::string>
        executionsFiles; ///< Read instead of asking the targets, which may have crashed and lost their counts.
};

/// Returns std::nullopt and sets exitCode if the help was printed or the arguments are not valid.
std::optional<LoadOptions> parseOptions(int argumentCount, char** arguments, int& exitCode);

}
