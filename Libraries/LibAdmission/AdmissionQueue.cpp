#include <LibAdmission/AdmissionQueue.h>
#include <algorithm>

namespace Comfreysail::Admission {

namespace {

// A department is over its share if its fraction of the requests in flight exceeds its share by this factor.
// Departments with equal traffic exceed it by chance only about 1% of the time.
constexpr double overShareFactor = 1.4;

}

AdmissionQueue::AdmissionQueue(AdmissionOptions options)
    : m_options(options)
{
}

size_t AdmissionQueue::queued() const { return m_waiting.size(); }

DepartmentUsage& AdmissionQueue::usageOf(QueuedRequest const& request) { return m_departments[request.department]; }

void AdmissionQueue::removeIdleDepartments(Core::Instant now)
{
    std::erase_if(m_departments, [&](auto const& entry) { return !entry.second.isActive(now); });
}

std::string const* AdmissionQueue::departmentMostOverShare(unsigned weightSum) const
{
    std::string const* most = nullptr;
    double mostRatio = 1;
    for (auto const& [name, usage] : m_departments) {
        auto const share = static_cast<double>(m_options.queueLimit) * usage.weight() / weightSum;
        auto const ratio = static_cast<double>(usage.queued()) / share;
        if (ratio > mostRatio) {
            most = &name;
            mostRatio = ratio;
        }
    }
    return most;
}

void AdmissionQueue::removeQueued(WaitingRequest const& waiting)
{
    usageOf(waiting.request).noteDequeued();
    m_deadlines.erase({ waiting.request.deadline, waiting.ticket });
    m_waiting.erase(waiting.ticket);
}

void AdmissionQueue::evictNewestOf(std::string const& department)
{
    // Evicts from the class in which the department has the most queued requests.
    auto const longest = std::max_element(m_queues.begin(), m_queues.end(),
        [&](auto const& left, auto const& right) { return left.sizeOf(department) < right.sizeOf(department); });
    auto const waiting = longest->popNewest(department);
    if (!waiting)
        return;
    m_evicted.push_back({ waiting->ticket, waiting->request.id, Core::ErrorKind::DepartmentOverShare });
    removeQueued(*waiting);
}

Core::Result<Ticket> AdmissionQueue::enqueue(QueuedRequest const& request, Core::Instant now)
{
    auto& usage = usageOf(request);
    usage.noteRequest(request.weight, now);

    if (request.deadline <= now)
        return Core::Error { Core::ErrorKind::DeadlineExceededInQueue, "the deadline had passed on arrival" };

    if (usage.queued() > 0
        && now + expectedWait(request.requestClass, request.department, usage.weight()) > request.deadline)
        return Core::Error { Core::ErrorKind::DeadlineExceededInQueue,
            "the expected wait is longer than the time to the deadline" };

    if (m_waiting.size() >= m_options.queueLimit) {
        auto const weightSum = activeTotalsAt(now).weight;
        auto const share = static_cast<double>(m_options.queueLimit) * usage.weight() / weightSum;
        if (static_cast<double>(usage.queued()) >= share) {
            if (weightSum > usage.weight())
                return Core::Error { Core::ErrorKind::DepartmentOverShare,
                    "the queue is full and department " + request.department + " holds its share" };
            return Core::Error { Core::ErrorKind::QueueFull, "the queue limit is reached" };
        }
        auto const* const victim = departmentMostOverShare(weightSum);
        if (!victim)
            return Core::Error { Core::ErrorKind::QueueFull, "the queue limit is reached" };
        evictNewestOf(*victim);
    }

    Ticket const ticket { ++m_lastTicket };
    queueOf(request.requestClass).push({ ticket, request });
    m_waiting.emplace(ticket, request);
    m_deadlines.emplace(request.deadline, ticket);
    usage.noteQueued();
    return ticket;
}

AdmissionQueue::ActiveTotals AdmissionQueue::activeTotalsAt(Core::Instant now) const
{
    ActiveTotals totals;
    for (auto const& [name, usage] : m_departments) {
        if (!usage.isActive(now))
            continue;
        totals.weight += usage.weight();
        totals.meanInFlight += usage.meanInFlight(now);
    }
    return totals;
}

bool AdmissionQueue::isOverShare(
    DepartmentUsage const& usage, size_t sharedCapacity, ActiveTotals const& totals, Core::Instant now) const
{
    auto const share = static_cast<double>(usage.weight()) / totals.weight;
    return static_cast<double>(usage.inFlight()) >= static_cast<double>(sharedCapacity) * share
        && usage.meanInFlight(now) > overShareFactor * share * totals.meanInFlight;
}

std::vector<FairQueue*> AdmissionQueue::queuesByUse(size_t capacity)
{
    // Classes that use the smallest part of their limit come first, so that no class starves another.
    std::vector<std::pair<double, FairQueue*>> uses;
    for (auto const requestClass : requestClasses) {
        auto const index = static_cast<size_t>(requestClass);
        auto const limit = std::max<size_t>(1, capacity * m_options.classPercent[index] / 100);
        if (!m_queues[index].empty() && m_classInFlight[index] < limit)
            uses.emplace_back(
                static_cast<double>(m_classInFlight[index]) / static_cast<double>(limit), &m_queues[index]);
    }
    std::stable_sort(
        uses.begin(), uses.end(), [](auto const& left, auto const& right) { return left.first < right.first; });
    std::vector<FairQueue*> queues;
    queues.reserve(uses.size());
    for (auto const& [use, queue] : uses)
        queues.push_back(queue);
    return queues;
}

std::optional<WaitingRequest> AdmissionQueue::takeNext(size_t capacity, ActiveTotals const& totals, Core::Instant now)
{
    auto const sharedCapacity = std::max<size_t>(1, capacity * m_options.overSharePercent / 100);
    bool const isReserved = m_inFlight.size() >= sharedCapacity;
    for (auto* const queue : queuesByUse(capacity)) {
        auto waiting = queue->popNext([&](std::string const& department) {
            return !isReserved || !isOverShare(m_departments[department], sharedCapacity, totals, now);
        });
        if (waiting)
            return waiting;
    }
    return std::nullopt;
}

std::vector<Admitted> AdmissionQueue::dispatch(unsigned freeCapacity, Core::Instant now)
{
    std::vector<Admitted> admitted;
    if (m_waiting.empty())
        return admitted;
    auto const capacity = m_inFlight.size() + freeCapacity;
    auto const totals = activeTotalsAt(now);
    while (admitted.size() < freeCapacity) {
        auto waiting = takeNext(capacity, totals, now);
        if (!waiting)
            break;
        removeQueued(*waiting);
        usageOf(waiting->request).noteSent(now);
        ++m_classInFlight[static_cast<size_t>(waiting->request.requestClass)];
        admitted.push_back({ waiting->ticket, waiting->request.id });
        m_inFlight.emplace(waiting->ticket, std::move(waiting->request));
    }
    return admitted;
}

std::vector<RefusedRequest> AdmissionQueue::takeRefused(Core::Instant now)
{
    auto refused = std::exchange(m_evicted, {});
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        auto const ticket = m_deadlines.begin()->second;
        auto const request = m_waiting.at(ticket);
        queueOf(request.requestClass).remove(request.department, ticket);
        removeQueued({ ticket, request });
        refused.push_back({ ticket, request.id, Core::ErrorKind::DeadlineExceededInQueue });
    }
    return refused;
}

void AdmissionQueue::finish(Ticket ticket, Core::Instant now)
{
    auto const entry = m_inFlight.find(ticket);
    if (entry == m_inFlight.end())
        return;
    usageOf(entry->second).noteFinished(now);
    --m_classInFlight[static_cast<size_t>(entry->second.requestClass)];
    m_inFlight.erase(entry);
    m_drainRate.noteFinished(!m_waiting.empty(), now);
    removeIdleDepartments(now);
}

void AdmissionQueue::cancel(Ticket ticket, Core::Instant now)
{
    auto const entry = m_waiting.find(ticket);
    if (entry == m_waiting.end()) {
        finish(ticket, now);
        return;
    }
    auto const request = entry->second;
    queueOf(request.requestClass).remove(request.department, ticket);
    removeQueued({ ticket, request });
}

bool AdmissionQueue::hasSpillable() const
{
    return std::any_of(m_waiting.begin(), m_waiting.end(), [](auto const& waiting) { return waiting.second.maySpill; });
}

std::optional<Admitted> AdmissionQueue::takeForSpill(Core::Instant now)
{
    auto const entry
        = std::find_if(m_waiting.begin(), m_waiting.end(), [](auto const& waiting) { return waiting.second.maySpill; });
    if (entry == m_waiting.end())
        return std::nullopt;
    Admitted const taken { entry->first, entry->second.id };
    cancel(taken.ticket, now);
    return taken;
}

void AdmissionQueue::putBack(Ticket ticket, Core::Instant now)
{
    auto node = m_inFlight.extract(ticket);
    if (node.empty())
        return;
    auto& request = node.mapped();
    auto& usage = usageOf(request);
    usage.noteFinished(now);
    usage.noteQueued();
    --m_classInFlight[static_cast<size_t>(request.requestClass)];
    queueOf(request.requestClass).pushFront({ ticket, request });
    m_deadlines.emplace(request.deadline, ticket);
    m_waiting.emplace(ticket, std::move(request));
}

size_t AdmissionQueue::requestsAhead(RequestClass requestClass, std::string const& department, unsigned weight) const
{
    auto const& queue = queueOf(requestClass);
    if (queue.empty())
        return 0;
    auto const ownWeight = std::max(weight, 1U);
    auto const turns = queue.sizeOf(department) * queue.waitingWeight(department, ownWeight) / ownWeight;
    return std::min(turns, queue.size());
}

Core::Duration AdmissionQueue::waitFor(size_t places) const
{
    // Classes take turns, so for each request ahead in one class, one request of every other non-empty class is sent
    // too.
    auto const classes
        = std::count_if(m_queues.begin(), m_queues.end(), [](auto const& queue) { return !queue.empty(); });
    return m_drainRate.interval() * std::min(places * static_cast<size_t>(classes), m_waiting.size());
}

Core::Duration AdmissionQueue::expectedWait(RequestClass requestClass) const
{
    return waitFor(queueOf(requestClass).size());
}

Core::Duration AdmissionQueue::expectedWait(
    RequestClass requestClass, std::string const& department, unsigned weight) const
{
    return waitFor(requestsAhead(requestClass, department, weight));
}

}
