#include "GroupDispatcher.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Comfreysail::Daemon {

using Core::Error;
using Core::ErrorKind;
using Core::Instant;
using Core::Result;
namespace asio = boost::asio;

namespace {

std::map<std::string, HTTP::Endpoint> endpointsOf(std::vector<Routing::Target> const& targets)
{
    std::map<std::string, HTTP::Endpoint> endpoints;
    for (auto const& target : targets)
        endpoints[target.name] = { target.address, target.port };
    return endpoints;
}

}

struct GroupDispatcher::Waiter {
    explicit Waiter(asio::any_io_executor const& strand, Routing::PickRequest request)
        : timer(strand, asio::steady_timer::time_point::max())
        , request(std::move(request))
    {
    }

    asio::steady_timer timer; ///< Accessed only on the strand of the request.
    Routing::PickRequest request;
    Admission::Ticket ticket;
    std::optional<Result<DispatchedRequest>> result; ///< Guarded by the dispatcher's mutex.
};

GroupDispatcher::GroupDispatcher(Routing::GroupKey key, std::vector<Routing::Target> const& targets,
    Routing::GroupOptions groupOptions, Admission::AdmissionOptions admissionOptions, Instant now)
    : m_key(key)
    , m_group(std::move(key), targets, groupOptions, now)
    , m_queue(admissionOptions)
    , m_endpoints(endpointsOf(targets))
    , m_spill(groupOptions.seed)
{
}

HTTP::Endpoint GroupDispatcher::endpointOf(std::string const& target) const
{
    auto const found = m_endpoints.find(target);
    return found == m_endpoints.end() ? HTTP::Endpoint {} : found->second;
}

HTTP::awaitable<Result<DispatchedRequest>> GroupDispatcher::admit(RequestContext& context, Routing::PickRequest request)
{
    auto const& classification = context.classification;
    auto const now = Core::monotonicNow();
    auto waiter = std::make_shared<Waiter>(context.exchange.strand(), std::move(request));
    Admission::QueuedRequest queued;
    queued.department = classification.effectiveDepartment;
    queued.requestClass = static_cast<Admission::RequestClass>(classification.routeClass);
    queued.weight = classification.settings.weight;
    queued.deadline = std::min(context.deadline(), now + classification.settings.queueTimeout);
    {
        std::lock_guard const lock(m_mutex);
        queued.id = ++m_lastId;
        auto enqueued = m_queue.enqueue(queued, now);
        if (isError(enqueued))
            co_return errorOf(enqueued);
        waiter->ticket = valueOf(enqueued);
        m_waiters.emplace(queued.id, waiter);
        dispatch(now);
        if (waiter->result)
            co_return *std::move(waiter->result);
    }
    StopSignal::Scope const scope(context.stopSignal, [&waiter] { waiter->timer.cancel(); });
    co_await waiter->timer.async_wait(HTTP::useTuple);
    std::lock_guard const lock(m_mutex);
    if (!waiter->result) {
        m_waiters.erase(queued.id);
        m_queue.cancel(waiter->ticket, Core::monotonicNow());
        auto const reason = context.stopSignal.reason().value_or(ErrorKind::Internal);
        co_return Error { reason == ErrorKind::DeadlineExceeded ? ErrorKind::DeadlineExceededInQueue : reason,
            "while queued" };
    }
    co_return *std::move(waiter->result);
}

void GroupDispatcher::completeWaiter(uint64_t id, Result<DispatchedRequest> result)
{
    auto const found = m_waiters.find(id);
    if (found == m_waiters.end())
        return;
    auto waiter = found->second;
    m_waiters.erase(found);
    waiter->result = std::move(result);
    asio::post(waiter->timer.get_executor(), [waiter] { waiter->timer.cancel(); });
}

void GroupDispatcher::dispatch(Instant now)
{
    for (auto const& expired : m_queue.takeRefused(now))
        completeWaiter(expired.id, Error { expired.reason, "while queued" });
    if (m_queue.queued() == 0)
        return;
    for (auto const& admitted : m_queue.dispatch(m_group.freeCapacity(now), now)) {
        auto const found = m_waiters.find(admitted.id);
        if (found == m_waiters.end()) {
            m_queue.cancel(admitted.ticket, now);
            continue;
        }
        auto pick = m_group.pick(found->second->request, now);
        if (isError(pick)) {
            m_queue.putBack(admitted.ticket, now);
            continue;
        }
        completeWaiter(
            admitted.id, DispatchedRequest { admitted.ticket, valueOf(pick), endpointOf(valueOf(pick).target), now });
    }
}

Result<DispatchedRequest> GroupDispatcher::pickAgain(
    DispatchedRequest const& previous, Routing::PickRequest const& request, Instant now)
{
    std::lock_guard const lock(m_mutex);
    auto pick = m_group.pick(request, now);
    if (isError(pick))
        return errorOf(pick);
    return DispatchedRequest { previous.ticket, valueOf(pick), endpointOf(valueOf(pick).target), now };
}

void GroupDispatcher::noteSendEnded(
    DispatchedRequest& dispatched, Routing::SendOutcome outcome, Routing::LoadHint hint, Instant now)
{
    if (!std::exchange(dispatched.isSendInFlight, false))
        return;
    std::lock_guard const lock(m_mutex);
    m_group.noteFinished(dispatched.pick.target, outcome, dispatched.sentAt, hint, now);
}

void GroupDispatcher::finish(DispatchedRequest const& dispatched, Instant now)
{
    std::lock_guard const lock(m_mutex);
    m_queue.finish(dispatched.ticket, now);
    dispatch(now);
}

void GroupDispatcher::observe(std::string const& target, Routing::TargetState state, Instant now)
{
    std::lock_guard const lock(m_mutex);
    m_group.observe(target, state, now);
}

void GroupDispatcher::replaceTargets(std::vector<Routing::Target> targets, Instant now)
{
    std::lock_guard const lock(m_mutex);
    m_endpoints = endpointsOf(targets);
    m_group.replaceTargets(std::move(targets), now);
    dispatch(now);
}

void GroupDispatcher::setMode(Routing::DispatchMode mode, Instant now)
{
    std::lock_guard const lock(m_mutex);
    if (m_group.mode() != mode)
        m_group.setMode(mode, now);
}

void GroupDispatcher::setAvailabilityZoneInService(bool isInService, Instant now)
{
    std::lock_guard const lock(m_mutex);
    if (m_isZoneInService == isInService)
        return;
    m_isZoneInService = isInService;
    m_group.setAvailabilityZoneInService(isInService, now);
    if (isInService)
        return;
    // Resume the waiting requests now, so that they try another zone instead of waiting for their deadline.
    for (auto const& [id, waiter] : std::exchange(m_waiters, {})) {
        m_queue.cancel(waiter->ticket, now);
        waiter->result = Error { ErrorKind::NoTargetAvailable, "the availability zone was taken out of service" };
        asio::post(waiter->timer.get_executor(), [waiter = waiter] { waiter->timer.cancel(); });
    }
}

void GroupDispatcher::tick(Instant now)
{
    std::lock_guard const lock(m_mutex);
    dispatch(now);
}

Routing::GroupLoad GroupDispatcher::load(Instant now) const
{
    std::lock_guard const lock(m_mutex);
    return currentLoad(now);
}

Routing::GroupLoad GroupDispatcher::currentLoad(Instant now) const
{
    auto load = m_group.load(now);
    load.queued = static_cast<unsigned>(m_queue.queued());
    return load;
}

void GroupDispatcher::setSiblings(std::vector<Routing::GroupKey> siblings)
{
    std::lock_guard const lock(m_mutex);
    for (auto const& sibling : m_siblings) {
        if (std::ranges::find(siblings, sibling) == siblings.end())
            m_spill.removeSibling(sibling);
    }
    m_siblings = std::move(siblings);
}

void GroupDispatcher::noteSiblingLoad(Routing::GroupKey const& sibling, Routing::GroupLoad load, Instant now)
{
    std::lock_guard const lock(m_mutex);
    if (std::ranges::find(m_siblings, sibling) != m_siblings.end())
        m_spill.noteReport(sibling, load, now);
}

std::optional<Routing::GroupKey> GroupDispatcher::chooseSpillSibling(Instant now)
{
    std::lock_guard const lock(m_mutex);
    if (m_siblings.empty() || m_group.mode() != Routing::DispatchMode::Home)
        return std::nullopt;
    return m_spill.choose(currentLoad(now), now);
}

void GroupDispatcher::noteSpillFinished(Routing::GroupKey const& sibling, Instant sentAt)
{
    std::lock_guard const lock(m_mutex);
    m_spill.noteSpillFinished(sibling, sentAt);
}

}
