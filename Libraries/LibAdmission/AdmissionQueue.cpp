#include <LibAdmission/AdmissionQueue.h>
#include <algorithm>

namespace Comfreysail::Admission {

namespace {

// A department without requests for this long no longer has a share kept for it.
constexpr Core::Duration departmentLife = std::chrono::seconds(1);

}

AdmissionQueue::AdmissionQueue(AdmissionOptions options)
    : m_options(options)
{
}

size_t AdmissionQueue::queued() const { return m_waiting.size(); }

DepartmentUsage& AdmissionQueue::usageOf(QueuedRequest const& request) { return m_departments[request.department]; }

unsigned AdmissionQueue::activeWeight(Core::Instant now) const
{
    unsigned sum = 0;
    for (auto const& [name, usage] : m_departments) {
        if (usage.queued > 0 || usage.inFlight > 0 || now < usage.lastRequestAt + departmentLife)
            sum += usage.weight;
    }
    return sum;
}

void AdmissionQueue::forgetIdleDepartments(Core::Instant now)
{
    std::erase_if(m_departments, [&](auto const& entry) {
        auto const& usage = entry.second;
        return usage.queued == 0 && usage.inFlight == 0 && now >= usage.lastRequestAt + departmentLife;
    });
}

std::string const* AdmissionQueue::mostOverShare(unsigned weightSum) const
{
    std::string const* most = nullptr;
    double mostRatio = 1;
    for (auto const& [name, usage] : m_departments) {
        auto const share = static_cast<double>(m_options.queueLimit) * usage.weight / weightSum;
        auto const ratio = static_cast<double>(usage.queued) / share;
        if (ratio > mostRatio) {
            most = &name;
            mostRatio = ratio;
        }
    }
    return most;
}

void AdmissionQueue::forgetQueued(WaitingRequest const& waiting)
{
    --usageOf(waiting.request).queued;
    m_deadlines.erase({ waiting.request.deadline, waiting.ticket });
    m_waiting.erase(waiting.ticket);
}

void AdmissionQueue::evictNewestOf(std::string const& department)
{
    // The class with the most waiting requests of the department loses one.
    auto const longest = std::max_element(m_queues.begin(), m_queues.end(),
        [&](auto const& left, auto const& right) { return left.sizeOf(department) < right.sizeOf(department); });
    auto const waiting = longest->popNewest(department);
    if (!waiting)
        return;
    m_evicted.push_back({ waiting->ticket, waiting->request.id, Core::ErrorKind::DepartmentOverShare });
    forgetQueued(*waiting);
}

Core::Result<Ticket> AdmissionQueue::enqueue(QueuedRequest const& request, Core::Instant now)
{
    auto& usage = usageOf(request);
    usage.weight = std::max(request.weight, 1U);
    usage.lastRequestAt = now;

    if (request.deadline <= now)
        return Core::Error { Core::ErrorKind::DeadlineExceededInQueue, "the deadline had passed on arrival" };

    if (usage.queued > 0
        && now + expectedWait(request.requestClass, request.department, usage.weight, now) > request.deadline)
        return Core::Error { Core::ErrorKind::DeadlineExceededInQueue,
            "the expected wait is longer than the time to the deadline" };

    if (m_waiting.size() >= m_options.queueLimit) {
        auto const weightSum = activeWeight(now);
        auto const share = static_cast<double>(m_options.queueLimit) * usage.weight / weightSum;
        if (static_cast<double>(usage.queued) >= share) {
            if (weightSum > usage.weight)
                return Core::Error { Core::ErrorKind::DepartmentOverShare,
                    "the queue is full and department " + request.department + " holds its share" };
            return Core::Error { Core::ErrorKind::QueueFull, "the queue limit is reached" };
        }
        auto const* const victim = mostOverShare(weightSum);
        if (!victim)
            return Core::Error { Core::ErrorKind::QueueFull, "the queue limit is reached" };
        evictNewestOf(*victim);
    }

    Ticket const ticket { ++m_lastTicket };
    queueOf(request.requestClass).push({ ticket, request });
    m_waiting.emplace(ticket, request);
    m_deadlines.emplace(request.deadline, ticket);
    ++usage.queued;
    return ticket;
}

bool AdmissionQueue::isOverShare(DepartmentUsage const& usage, size_t capacity, unsigned weightSum) const
{
    return usage.weight < weightSum && usage.inFlight * weightSum >= capacity * usage.weight;
}

std::vector<FairQueue*> AdmissionQueue::queuesByUse(size_t capacity)
{
    // The class that uses the least of its limit goes first, so no class starves another.
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
    for (auto const& [use, queue] : uses)
        queues.push_back(queue);
    return queues;
}

std::optional<WaitingRequest> AdmissionQueue::takeNext(size_t capacity, unsigned weightSum)
{
    bool const isReserved = m_inFlight.size() * 100 >= capacity * m_options.overSharePercent;
    for (auto* const queue : queuesByUse(capacity)) {
        auto waiting = queue->popNext([&](std::string const& department) {
            return !isReserved || !isOverShare(m_departments[department], capacity, weightSum);
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
    auto const weightSum = activeWeight(now);
    while (admitted.size() < freeCapacity) {
        auto waiting = takeNext(capacity, weightSum);
        if (!waiting)
            break;
        auto& usage = usageOf(waiting->request);
        forgetQueued(*waiting);
        ++usage.inFlight;
        ++m_classInFlight[static_cast<size_t>(waiting->request.requestClass)];
        admitted.push_back({ waiting->ticket, waiting->request.id });
        m_inFlight.emplace(waiting->ticket, std::move(waiting->request));
    }
    return admitted;
}

std::vector<Expired> AdmissionQueue::expire(Core::Instant now)
{
    auto expired = std::exchange(m_evicted, {});
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        auto const ticket = m_deadlines.begin()->second;
        auto const request = m_waiting.at(ticket);
        queueOf(request.requestClass).remove(request.department, ticket);
        forgetQueued({ ticket, request });
        expired.push_back({ ticket, request.id, Core::ErrorKind::DeadlineExceededInQueue });
    }
    return expired;
}

void AdmissionQueue::finish(Ticket ticket, Core::Instant now)
{
    auto const entry = m_inFlight.find(ticket);
    if (entry == m_inFlight.end())
        return;
    --usageOf(entry->second).inFlight;
    --m_classInFlight[static_cast<size_t>(entry->second.requestClass)];
    m_inFlight.erase(entry);
    m_drainRate.noteFinished(!m_waiting.empty(), now);
    forgetIdleDepartments(now);
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
    forgetQueued({ ticket, request });
}

void AdmissionQueue::putBack(Ticket ticket, Core::Instant)
{
    auto node = m_inFlight.extract(ticket);
    if (node.empty())
        return;
    auto& request = node.mapped();
    auto& usage = usageOf(request);
    --usage.inFlight;
    ++usage.queued;
    --m_classInFlight[static_cast<size_t>(request.requestClass)];
    queueOf(request.requestClass).pushFront({ ticket, request });
    m_deadlines.emplace(request.deadline, ticket);
    m_waiting.emplace(ticket, std::move(request));
}

Core::Duration AdmissionQueue::expectedWait(RequestClass requestClass, Core::Instant) const
{
    auto const classes
        = std::count_if(m_queues.begin(), m_queues.end(), [](auto const& queue) { return !queue.empty(); });
    auto const places = queueOf(requestClass).size() * static_cast<size_t>(classes);
    return m_drainRate.interval() * std::min(places, m_waiting.size());
}

Core::Duration AdmissionQueue::expectedWait(
    RequestClass requestClass, std::string const& department, unsigned weight, Core::Instant now) const
{
    auto const& queue = queueOf(requestClass);
    auto const turns = static_cast<double>(queue.sizeOf(department)) * queue.waitingWeight(department, weight) / weight;
    auto const share = queue.empty() ? 0 : std::min(1.0, turns / static_cast<double>(queue.size()));
    return std::chrono::duration_cast<Core::Duration>(expectedWait(requestClass, now) * share);
}

}
