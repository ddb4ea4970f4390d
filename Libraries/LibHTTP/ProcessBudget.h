#pragma once

#include <cstddef>

namespace Comfreysail::HTTP {

/// How a process divides its file descriptors and the memory for client connections. docs/design/caller-limits.md gives
/// the reasons.
struct ProcessBudget {
    size_t reservedDescriptors { 0 }; ///< For files, listeners, the store and other daemons.
    size_t clientConnections { 0 };
    size_t adminConnections { 0 };
    size_t controlConnections { 0 };
    size_t targetConnections { 0 }; ///< For requests, load probes and idle connections together.
    size_t requestsAtTargets { 0 }; ///< Requests that may hold a connection to a target at the same time.
    size_t requestsAhead { 0 };     ///< Pipelined requests of all connections that are processed ahead of their turn.
    size_t headMemoryBytes { 0 };   ///< For the heads of requests in progress.

    bool operator==(ProcessBudget const&) const = default;
};

/// Divides the budget. No part is zero, also for values that are too small to run with.
ProcessBudget divideBudget(size_t maxDescriptors, size_t memoryBytes);

/// The limit of open file descriptors (RLIMIT_NOFILE) of this process.
size_t descriptorLimitOfProcess();

}
