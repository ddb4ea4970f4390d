#include "TargetSelector.h"

#include "OverloadInput.h"
#include "PlacementInput.h"
#include "TargetPauseWait.h"
#include <algorithm>
#include <platform/Platform.h>

namespace Comfreysail::Daemon {

using Core::Error;
using Core::ErrorKind;
using Core::Instant;
using Core::Result;
using HTTP::awaitable;
using Traffic::RegisteredTarget;
using namespace std::chrono_literals;

namespace {

// Assumed upper bound of daemons that run but are not in the member list yet, such as those of added VMs.
constexpr unsigned maxDaemonsNotYetMembers = 4;
// Timeout of one round of load probes. A probe takes one or two round trips inside a region.
constexpr auto probeRoundTimeout = 40ms;
constexpr auto freshRowsPollInterval = 10ms;
// A request waits for late load responses of the only target, but leaves this part of its time to the work.
constexpr int partOfTimeForWork = 4;
// A request that leaves its target to more urgent ones needs an estimate of the service's spare capacity and no better
// target.
constexpr unsigned maxRoundsIfHeldBack = 2;

void logChoice(EntryRequest const& request, Traffic::PlacementRequest const& placement,
    Traffic::TargetChoice const& choice, size_t probed)
{
    auto const& load = *choice.target->load;
    Telemetry::EventLine("target_chosen")
        .add("request_id", request.requestId)
        .add("target", choice.target->target.id)
        .add("availability_zone", choice.target->target.availabilityZone)
        .add("version", choice.target->target.version)
        .add("cost", choice.cost)
        .add("running", load.running)
        .add("waiting", load.waiting)
        .add("slots", load.slots)
        .add("slowness", load.slowness)
        .add("sent_since_report", choice.target->sentSinceLoad)
        .add("asked", probed)
        .add("late", placement.isLate)
        .logInfo();
}

/// Why no target was chosen. Becomes the detail of the error, which is logged and sent to the caller.
std::string describeTargets(
    std::vector<Traffic::DirectoryEntry const*> const& eligible, size_t limited, size_t probed, Instant now)
{
    size_t cold = 0;
    size_t full = 0;
    for (auto const* record : eligible) {
        cold += now < record->coldUntil ? 1 : 0;
        full += record->load && record->load->running + record->load->waiting >= record->load->slots ? 1 : 0;
    }
    return "asked " + std::to_string(probed) + " of " + std::to_string(eligible.size()) + ", cold "
        + std::to_string(cold) + ", full " + std::to_string(full) + ", limited " + std::to_string(limited);
}

}

TargetSelector::TargetSelector(boost::asio::io_context& context, LoadProber& prober, HTTP::ConnectionPool const& pool,
    EntryState& state, std::string ownZone)
    : m_context(context)
    , m_prober(prober)
    , m_pool(pool)
    , m_state(state)
    , m_ownZone(std::move(ownZone))
{
}

awaitable<void> TargetSelector::waitForFreshRows(EntryRequest& request)
{
    boost::asio::steady_timer timer(m_context);
    while (!request.stopSignal.reason() && m_state.pauses.needsRefresh(Core::suspendAwareNow())) {
        timer.expires_after(freshRowsPollInterval);
        co_await timer.async_wait(HTTP::useTuple);
    }
}

awaitable<Result<RegisteredTarget>> TargetSelector::select(EntryRequest& request)
{
    if (request.sends == 0)
        noteArrival(m_state, request, Core::monotonicNow());
    while (true) {
        request.pausesAtSelection = m_state.pauses.noteTick(Core::suspendAwareNow());
        co_await waitForFreshRows(request);
        auto selected = co_await selectOnce(request);
        if (isError(selected) && errorOf(selected).kind == ErrorKind::NoTargetAvailable) {
            auto const hasWaited = co_await waitForTargets(m_context, m_state, request);
            bool const mayTryAgain = hasWaited ? *hasWaited : co_await holdIfShort(request);
            if (mayTryAgain)
                continue;
        }
        if (request.stopSignal.reason() || !request.wasPausedSinceSelection(m_state)) {
            // Without a suspension in between, so that no other request can be sent on the same part of a limit.
            if (!isError(selected))
                m_state.directory.noteChosen(valueOf(selected).id, memberCount(), Core::monotonicNow());
            co_return selected;
        }
    }
}

awaitable<bool> TargetSelector::holdIfShort(EntryRequest& request)
{
    auto const& options = m_state.overload.options;
    auto const input = overloadInputOf(m_state, request, Core::monotonicNow());
    if (!input || !input->capacity.isShort || request.stopSignal.reason())
        co_return false;
    auto const decision = Overload::decide(*input, options);
    request.shedding = { *input, decision };
    bool const waits = decision.action == Overload::Action::Wait;
    m_state.metrics
        .counter(waits ? "comfreysail_overload_delays_total" : "comfreysail_overload_refusals_total",
            { { "reason", std::string(Overload::reasonName(decision.reason)) },
                { "rank", std::to_string(input->rank) } })
        .add();
    if (!waits)
        co_return false;
    Telemetry::EventLine("request_delayed")
        .add("request_id", request.requestId)
        .add("service", request.service)
        .add("decision", Overload::describe(*input, decision))
        .logInfo();
    boost::asio::steady_timer timer(m_context, decision.wait);
    StopSignal::Scope const scope(request.stopSignal, [&timer] { timer.cancel(); });
    co_await timer.async_wait(HTTP::useTuple);
    co_return !request.stopSignal.reason();
}

awaitable<Result<RegisteredTarget>> TargetSelector::selectOnce(EntryRequest& request)
{
    auto placement = placementOf(m_state, factsOf(request), m_ownZone, Core::monotonicNow());
    placement.excludedTargets = request.triedTargets;
    auto const& plan = *request.plan;
    auto const service = plan.services.find(request.service);
    if (service == plan.services.end())
        co_return Error { ErrorKind::NoTargetAvailable, "the service is not in the settings" };
    m_state.requestRates[request.service].note(Core::monotonicNow());
    Result<RegisteredTarget> selected = Error { ErrorKind::NoTargetAvailable, {} };
    if (!m_state.servicesWithoutLoadReports.contains(request.service))
        selected = co_await probeAndChoose(request, service->second.healthPath, placement);
    if (!isError(selected) || request.stopSignal.reason())
        co_return selected;
    // Checked again, since the probes may just have shown that the targets do not report load.
    if (m_state.servicesWithoutLoadReports.contains(request.service)) {
        auto const* const target
            = Traffic::leastLoadedOfTwo(eligibleTargets(request), placement, m_generator(), Core::monotonicNow());
        if (target)
            co_return target->target;
    }
    if (auto const cold = coldTarget(request))
        co_return *cold;
    co_return selected;
}

std::optional<RegisteredTarget> TargetSelector::coldTarget(EntryRequest const& request)
{
    auto const now = Core::monotonicNow();
    auto const eligible = eligibleTargets(request);
    bool const areAllCold
        = std::ranges::all_of(eligible, [now](auto const* record) { return now < record->coldUntil; });
    if (!areAllCold)
        return std::nullopt;
    auto const service = request.plan->services.find(request.service);
    for (auto const* record : eligible) {
        auto const& id = record->target.id;
        bool const wasTried = std::ranges::find(request.triedTargets, id) != request.triedTargets.end();
        if (!wasTried
            && m_state.coldSends.tryTake(id, service->second.coldRequestsPerSecond,
                static_cast<unsigned>(memberCount()) + maxDaemonsNotYetMembers,
                std::uniform_real_distribution<double>(0, 1)(m_generator), now))
            return record->target;
    }
    return std::nullopt;
}

awaitable<Result<RegisteredTarget>> TargetSelector::probeAndChoose(
    EntryRequest& request, std::string const& healthPath, Traffic::PlacementRequest placement)
{
    Traffic::PlacementOptions options;
    if (auto const input = overloadInputOf(m_state, request, Core::monotonicNow()))
        Overload::limitPlacement(*input, m_state.overload.options, placement, options);
    auto const eligibleNow = [&] { return eligibleTargets(request); };
    bool isHeldBack = false;
    auto const best = [&]() -> std::optional<Traffic::TargetChoice> {
        auto const now = Core::monotonicNow();
        auto const choice = Traffic::bestTarget(eligibleNow(), placement, options, now);
        auto input = choice ? overloadInputOf(m_state, request, now) : std::nullopt;
        if (input)
            input->hasTarget = true;
        isHeldBack = input && Overload::decide(*input, m_state.overload.options).action != Overload::Action::Send;
        return isHeldBack ? std::nullopt : choice;
    };
    auto const isGoodEnough = [&] {
        auto const choice = best();
        return choice && choice->cost <= options.goodEnoughCost;
    };
    std::vector<std::string> probed;
    auto const lateUntil = request.deadline - (request.deadline - request.arrivedAt) / partOfTimeForWork;
    LoadProber::Session session(m_context, isGoodEnough, lateUntil);
    StopSignal::Scope const scope(request.stopSignal, [&session] { session.stopWaiting(); });
    // Waiting for late responses is no round of its own. Otherwise a target would be asked less often if it has little
    // processor time, and requests that take turns at it would be refused.
    unsigned waits = 0;
    for (unsigned round = 0; round < options.maxRounds;) {
        auto const eligible = eligibleNow();
        auto const preference = probePreference(request, eligible, round == 0);
        auto toProbe = Traffic::targetsToProbe(eligible, placement, probed, options, m_generator(), preference);
        // Requests that asked at the same time may have taken the room that the reports showed, although a target has
        // ended other work since.
        if (toProbe.empty() && !best() && !session.hasPendingProbes())
            toProbe = Traffic::targetsToProbeAgain(eligible, placement, probed, options, Core::monotonicNow());
        std::vector<std::string> ids;
        for (auto const* record : toProbe)
            ids.push_back(record->target.id);
        auto const limited = m_state.directory.takeDueLimitProbe(request.service, Core::monotonicNow());
        if (limited && std::ranges::find(ids, *limited) == ids.end())
            ids.push_back(*limited);
        if (!ids.empty()) {
            ++round;
            probed.insert(probed.end(), ids.begin(), ids.end());
            co_await m_prober.probe(session, ids, healthPath, probeRoundTimeout);
        } else if (!best() && session.hasPendingProbes() && Core::monotonicNow() < request.deadline) {
            ++waits;
            co_await m_prober.waitForPending(session, request.deadline);
        } else {
            break;
        }
        if (request.stopSignal.reason())
            co_return Error { *request.stopSignal.reason(), {} };
        if (isGoodEnough() || (isHeldBack && round + waits >= maxRoundsIfHeldBack))
            break;
    }
    if (!best() && !isHeldBack && session.hasPendingProbes())
        co_await m_prober.waitForPending(session, request.deadline);
    if (request.stopSignal.reason())
        co_return Error { *request.stopSignal.reason(), {} };
    auto const choice = best();
    if (choice) {
        logChoice(request, placement, *choice, probed.size());
        request.expectedCost = choice->cost;
        request.isQueuedAtTarget = choice->isWaiting;
        co_return choice->target->target;
    }
    co_return Error { ErrorKind::NoTargetAvailable,
        describeTargets(eligibleNow(), m_state.directory.limitedTargets(request.service, Core::monotonicNow()),
            probed.size(), Core::monotonicNow())
            + (placement.isLate ? ", late" : "") };
}

Traffic::ProbePreference TargetSelector::probePreference(
    EntryRequest const& request, std::vector<Traffic::DirectoryEntry const*> const& eligible, bool isFirstRound)
{
    if (!m_state.usesTargetSubset)
        return {};
    auto const now = Core::monotonicNow();
    Traffic::SubsetDemand const demand { memberCount(), readyTargets(m_state, request.service),
        m_state.requestRates[request.service].perSecond(now) };
    auto preference = Traffic::probePreference(
        m_state.daemonName, m_ownZone, eligible, demand, {}, isFirstRound, m_generator(), now);
    if (preference.subset.empty())
        return preference;
    for (auto const* record : eligible) {
        auto const& target = record->target;
        if (m_pool.hasIdle({ target.address, target.port }, now))
            preference.connected.insert(target.id);
    }
    return preference;
}

size_t TargetSelector::memberCount() const { return m_state.sharedRows.table(Platform::Table::members).size(); }

std::vector<Traffic::DirectoryEntry const*> TargetSelector::eligibleTargets(EntryRequest const& request) const
{
    auto const now = Core::monotonicNow();
    auto const version = allowedVersion(m_state, request.service, request.uniform, now);
    return m_state.directory.eligible(request.service, version, m_state.zonesOutOfService, now);
}

}
