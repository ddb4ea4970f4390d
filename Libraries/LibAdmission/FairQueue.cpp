#include <LibAdmission/FairQueue.h>
#include <algorithm>

namespace Comfreysail::Admission {

FairQueue::Department& FairQueue::activate(QueuedRequest const& request)
{
    auto const [entry, isNew] = m_departments.try_emplace(request.department);
    if (isNew)
        m_round.push_back(request.department);
    entry->second.weight = std::max(request.weight, 1U);
    return entry->second;
}

void FairQueue::push(WaitingRequest waiting)
{
    auto& department = activate(waiting.request);
    department.waiting.push_back(std::move(waiting));
    ++m_size;
}

void FairQueue::pushFront(WaitingRequest waiting)
{
    auto& department = activate(waiting.request);
    department.deficit += 1;
    department.waiting.push_front(std::move(waiting));
    ++m_size;
}

void FairQueue::removeIfEmpty(std::string const& name)
{
    auto const entry = m_departments.find(name);
    if (entry == m_departments.end() || !entry->second.waiting.empty())
        return;
    m_departments.erase(entry);
    m_round.erase(std::find(m_round.begin(), m_round.end(), name));
}

std::optional<WaitingRequest> FairQueue::popNext(MayTake const& mayTake)
{
    unsigned maxWeight = 0;
    for (auto const& [name, department] : m_departments) {
        if (department.weight > maxWeight && mayTake(name))
            maxWeight = department.weight;
    }
    if (maxWeight == 0)
        return std::nullopt;

    // Ends within one round, because the department with the highest weight gets a whole request on its turn.
    while (true) {
        auto const name = m_round.front();
        auto& department = m_departments.find(name)->second;
        m_round.pop_front();
        m_round.push_back(name);
        if (!mayTake(name))
            continue;
        if (department.deficit < 1)
            department.deficit += static_cast<double>(department.weight) / maxWeight;
        if (department.deficit < 1)
            continue;
        department.deficit -= 1;
        auto waiting = std::move(department.waiting.front());
        department.waiting.pop_front();
        --m_size;
        removeIfEmpty(name);
        return waiting;
    }
}

std::optional<WaitingRequest> FairQueue::popNewest(std::string const& name)
{
    auto const entry = m_departments.find(name);
    if (entry == m_departments.end())
        return std::nullopt;
    auto waiting = std::move(entry->second.waiting.back());
    entry->second.waiting.pop_back();
    --m_size;
    removeIfEmpty(name);
    return waiting;
}

bool FairQueue::remove(std::string const& name, Ticket ticket)
{
    auto const entry = m_departments.find(name);
    if (entry == m_departments.end())
        return false;
    auto& waiting = entry->second.waiting;
    auto const position = std::find_if(
        waiting.begin(), waiting.end(), [&](WaitingRequest const& request) { return request.ticket == ticket; });
    if (position == waiting.end())
        return false;
    waiting.erase(position);
    --m_size;
    removeIfEmpty(name);
    return true;
}

size_t FairQueue::sizeOf(std::string const& name) const
{
    auto const entry = m_departments.find(name);
    return entry == m_departments.end() ? 0 : entry->second.waiting.size();
}

unsigned FairQueue::waitingWeight(std::string const& name, unsigned weight) const
{
    auto sum = m_departments.contains(name) ? 0U : weight;
    for (auto const& [other, department] : m_departments)
        sum += department.weight;
    return sum;
}

}
