#include <LibHTTP/ProcessBudget.h>

#include <algorithm>
#include <sys/resource.h>

namespace Comfreysail::HTTP {

namespace {

// The platform reserves this many descriptors of a VM for files.
constexpr size_t maxFileDescriptors = 200;
constexpr size_t filesDivisor = 10;
// Listeners, timers, signals and log (under 16), and connections to the store and to other daemons.
constexpr size_t minOwnDescriptors = 16;
constexpr size_t ownDivisor = 32;
// The platform's balancer and the metrics collector use a few connections.
constexpr size_t minAdminConnections = 8;
constexpr size_t maxAdminConnections = 64;
constexpr size_t adminDivisor = 32;
// In the worst case each of 313 daemons has a connection to the same one.
constexpr size_t minControlConnections = 16;
constexpr size_t maxControlConnections = 512;
constexpr size_t controlDivisor = 8;

constexpr size_t minClientConnections = 32;
// Largest buffers of a connection besides a body: received bytes, pipelined bytes and the state of its request.
constexpr size_t bytesPerClientConnection = size_t { 40 } * 1024;
constexpr size_t clientMemoryDivisor = 4;
constexpr size_t headMemoryDivisor = 16;

// The other half of the connections to targets is for load probes and for idle connections.
constexpr size_t requestsAtTargetsDivisor = 2;
// Requests ahead of their turn leave three quarters of the connections to requests whose turn it is.
constexpr size_t requestsAheadDivisor = 4;

}

ProcessBudget divideBudget(size_t maxDescriptors, size_t memoryBytes)
{
    ProcessBudget budget;
    budget.reservedDescriptors = std::min(maxDescriptors / filesDivisor, maxFileDescriptors)
        + std::max(maxDescriptors / ownDivisor, minOwnDescriptors);
    budget.adminConnections = std::clamp(maxDescriptors / adminDivisor, minAdminConnections, maxAdminConnections);
    budget.controlConnections
        = std::clamp(maxDescriptors / controlDivisor, minControlConnections, maxControlConnections);
    auto const used = budget.reservedDescriptors + budget.adminConnections + budget.controlConnections;
    auto const left = maxDescriptors > used ? maxDescriptors - used : 0;
    auto const byMemory = std::max(memoryBytes / clientMemoryDivisor / bytesPerClientConnection, minClientConnections);
    budget.clientConnections = std::max<size_t>(std::min(left / 2, byMemory), 1);
    budget.targetConnections = std::max<size_t>(left - std::min(left, budget.clientConnections), 4);
    budget.requestsAtTargets = budget.targetConnections / requestsAtTargetsDivisor;
    budget.requestsAhead = std::max<size_t>(budget.requestsAtTargets / requestsAheadDivisor, 1);
    budget.headMemoryBytes = std::max<size_t>(memoryBytes / headMemoryDivisor, size_t { 256 } * 1024);
    return budget;
}

size_t descriptorLimitOfProcess()
{
    rlimit limit {};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return 1024;
    return static_cast<size_t>(limit.rlim_cur);
}

}
