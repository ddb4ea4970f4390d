#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Comfreysail::Benchmarks {

struct LoadOptions {
    std::vector<std::string> daemons; ///< host:port of each entry; callers are spread over them.
    std::vector<std::string> targets; ///< host:port of each target, to ask for executions.
    bool targetDirect { false };      ///< Send to the targets instead of the daemons.
    std::vector<std::string> departments { "registry" };
    std::string host { "orders.example" };
    std::string downloadHost; ///< Same as host when empty.
    double rate { 100 };      ///< Calls per second, all kinds together.
    std::chrono::seconds duration { 10 };
    double orderShare { 0.2 };
    double downloadShare { 0.02 };
    uint64_t downloadBytes { 1'000'000 };
    double poisonRate { 0 };    ///< Calls per second that crash a target that runs them.
    unsigned poisonPaths { 1 }; ///< Number of different ones.
    std::chrono::milliseconds timeout { 5000 };
    unsigned orderAttempts { 6 }; ///< Sends of an order under one key when it is refused or unknown.
    uint64_t seed { 1 };
    std::vector<std::string> executionsFiles; ///< Read instead of asking the targets, which may have crashed.
};

/// Nothing when only help or usage was printed; exitCode is then set.
std::optional<LoadOptions> parseOptions(int argumentCount, char** arguments, int& exitCode);

}
