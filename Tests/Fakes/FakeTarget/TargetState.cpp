#include "TargetState.h"
#include <algorithm>
#include <boost/json.hpp>

namespace Comfreysail::Fakes {

namespace {

// A target that is overloaded while cold fails all requests for this long and then warms up from the start.
constexpr auto overloadTime = std::chrono::seconds(2);

}

TargetState::TargetState(boost::asio::io_context& ioContext, TargetOptions targetOptions)
    : context(ioContext)
    , options(std::move(targetOptions))
    , m_random(options.seed)
{
    faults.coldSince = Core::monotonicNow();
    if (options.executionsFile.empty())
        return;
    std::ifstream earlier(options.executionsFile);
    for (std::string key; std::getline(earlier, key);)
        ++m_executions[key];
    m_executionsFile.open(options.executionsFile, std::ios::app);
}

bool TargetState::enter(Core::Instant now)
{
    ++requestCount;
    if (faults.isDraining || m_inFlight >= options.limit) {
        ++shedCount;
        return false;
    }
    ++m_inFlight;
    if (isCold(now) && m_inFlight > concurrencyLimit(now)) {
        ++coldOverloads;
        m_overloadedUntil = now + overloadTime;
        faults.coldSince = m_overloadedUntil;
    }
    return true;
}

std::shared_ptr<SlotWaiter> TargetState::takeSlot()
{
    if (m_busySlots < options.slots) {
        ++m_busySlots;
        return nullptr;
    }
    return m_waiters.emplace_back(std::make_shared<SlotWaiter>(context));
}

void TargetState::abandonWait(std::shared_ptr<SlotWaiter> const& waiter)
{
    if (waiter->isGranted)
        freeSlot();
    else
        std::erase(m_waiters, waiter);
}

void TargetState::freeSlot()
{
    if (m_waiters.empty()) {
        --m_busySlots;
        return;
    }
    auto const next = m_waiters.front();
    m_waiters.pop_front();
    next->isGranted = true;
    next->timer.cancel();
}

void TargetState::recordExecution(std::string const& key)
{
    ++m_executions[key];
    if (m_executionsFile.is_open())
        m_executionsFile << key << std::endl; // Flushes, because the process may be killed at any time.
}

std::string TargetState::executionsJson() const
{
    boost::json::object counts;
    for (auto const& [key, count] : m_executions)
        counts[key] = count;
    return boost::json::serialize(counts);
}

std::chrono::microseconds TargetState::drawServiceTime(double meanMilliseconds, Core::Instant now)
{
    auto const factor = now < faults.slowUntil ? faults.slowFactor : 1;
    std::exponential_distribution<double> distribution(1 / (meanMilliseconds * 1000 * factor));
    return std::chrono::microseconds(static_cast<int64_t>(distribution(m_random)));
}

bool TargetState::failsFast(Core::Instant now) const { return now < faults.failFastUntil || now < m_overloadedUntil; }

bool TargetState::isCold(Core::Instant now) const { return now < faults.coldSince + options.coldTime; }

unsigned TargetState::concurrencyLimit(Core::Instant now) const
{
    if (!isCold(now))
        return options.limit;
    auto const age = std::max(Core::Duration(0), now - faults.coldSince);
    auto const share = static_cast<double>(age.count()) / static_cast<double>(Core::Duration(options.coldTime).count());
    return 1 + static_cast<unsigned>(share * options.limit);
}

std::string_view TargetState::stateName(Core::Instant now) const
{
    if (faults.isDraining)
        return "draining";
    return isCold(now) ? "cold" : "serving";
}

unsigned TargetState::reportedInFlight(Core::Instant now)
{
    if (now >= faults.lieUntil)
        return m_inFlight;
    return std::uniform_int_distribution<unsigned>(0, 2 * options.limit)(m_random);
}

std::string TargetState::loadHeader(Core::Instant now)
{
    return "in_flight=" + std::to_string(reportedInFlight(now)) + ";limit=" + std::to_string(concurrencyLimit(now))
        + ";state=" + std::string(now < faults.lieUntil ? "serving" : stateName(now));
}

std::string TargetState::loadJson(Core::Instant now)
{
    return boost::json::serialize(boost::json::object {
        { "name", options.name },
        { "state", stateName(now) },
        { "in_flight", reportedInFlight(now) },
        { "limit", concurrencyLimit(now) },
        { "requests", requestCount },
        { "shed", shedCount },
        { "late", lateCount },
        { "cancelled", cancelledCount },
        { "cold_overloads", coldOverloads },
    });
}

}
