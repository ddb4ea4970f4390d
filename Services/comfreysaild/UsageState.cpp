#include "UsageState.h"

#include "DaemonSettings.h"
#include <LibCore/Hash.h>
#include <algorithm>
#include <cmath>
#include <platform/Names.h>
#include <random>

namespace Comfreysail::Daemon {

namespace {

// The calls of one daemon, which retries within its lease, stay below this part of what the platform takes from all.
constexpr double fractionOfCalls = 0.1;
// A call and what is kept of the lease for it, as parts of the lease. With a short lease a call must still fit.
constexpr int64_t callsPerLease = 3;
constexpr int64_t reservesPerLease = 15;
// For this time after the start of the process at least three VMs have to agree on the time. Otherwise the first member
// would decide alone, whose wall clock may be the wrong one.
constexpr auto membersSettleTime = std::chrono::seconds(10);
constexpr size_t minMembersAtStart = 6;

}

std::unique_ptr<UsageState> makeUsageState(
    std::optional<DutySettings> const& settings, std::string const& vmName, Core::Instant now)
{
    if (!settings || std::ranges::find(settings->kinds, Platform::Duty::usage) == settings->kinds.end())
        return nullptr;
    auto state = std::make_unique<UsageState>();
    std::random_device random;
    state->incarnation = Core::toHex((uint64_t { random() } << 32U) | random());
    state->startedAt = now;
    auto& options = state->options;
    options.window = settings->reportWindow;
    options.due = settings->reportDue;
    options.lease = settings->lease;
    options.callTimeout = std::min(options.callTimeout, options.lease / callsPerLease);
    options.leaseReserve = std::min(options.leaseReserve, options.lease / reservesPerLease);
    auto const seconds = std::chrono::duration<double>(1 / (std::max(settings->callsPerSecond, 1.0) * fractionOfCalls));
    options.minBackoff = std::max(options.minBackoff, std::chrono::duration_cast<Core::Duration>(seconds));
    options.maxBackoff = std::max(options.maxBackoff, options.minBackoff);
    state->own.options = options;
    state->collected.options = options;
    state->duty.options = options;
    state->duty.self = vmName;
    state->duty.incarnation = state->incarnation;
    return state;
}

std::optional<Usage::CountedSend> countSend(UsageState* state, std::string_view department, Core::Instant sentAt)
{
    if (!state || department.empty())
        return std::nullopt;
    return Usage::countSend(state->own, state->clock, department, sentAt);
}

void takeBackSend(UsageState* state, std::optional<Usage::CountedSend> const& send)
{
    if (state && send)
        Usage::takeBack(state->own, state->clock, *send);
}

Usage::ReportedCounts countsOfAllDaemons(UsageState const& state, Usage::WindowId window)
{
    auto counts = Usage::countsOf(state.collected, window);
    if (auto const own = state.own.windows.find(window); own != state.own.windows.end())
        Usage::addCounts(counts, own->second);
    return counts;
}

void maintainUsage(UsageState& state, std::optional<Core::Duration> storeTime, Core::Instant now)
{
    if (storeTime)
        Usage::noteStoreTime(state.clock, *storeTime, now);
    Usage::maintainCounts(state.own, state.clock, now);
    Usage::maintainLedger(state.collected, Usage::trueTimeAt(state.clock, now), now);
}

std::optional<Core::Duration> agreedOffset(
    UsageState const& state, size_t members, Core::WallTime wall, Core::Instant now)
{
    auto offsets = Usage::recentOffsets(state.collected, now);
    if (auto const own = Usage::wallOffset(state.clock, wall, now))
        offsets.push_back(*own);
    // When all daemons start for the first time, the member list is still growing.
    bool const isListGrowing = now - state.startedAt < membersSettleTime;
    return Usage::agreeOnOffset(std::move(offsets), isListGrowing ? std::max(members, minMembersAtStart) : members);
}

}
