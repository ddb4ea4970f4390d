#include <LibRouting/TargetRecord.h>
#include <algorithm>

namespace Comfreysail::Routing {

namespace {

// One request is sent ahead for each slot, so that a slot does not stay empty for a round trip after a response.
constexpr unsigned requestsAheadForEachSlot = 1;

// A response that takes longer than this multiple of the typical time is no evidence that a cold target can handle its
// limit.
constexpr int64_t slowAnswerInTypicalTimes = 3;

// A request is not sent ahead to a target whose slots all run requests that take at least this many times as long.
constexpr int64_t longRequestInTypicalTimes = 4;

// How long a target's report that it is draining is valid without being repeated.
constexpr Core::Duration drainingHintValidity = std::chrono::seconds(5);

bool isCompleteAnswer(SendOutcome outcome)
{
    return outcome == SendOutcome::Answered || outcome == SendOutcome::ServerError || outcome == SendOutcome::Shed;
}

}

TargetRecord::TargetRecord(Target target, WarmUpState warmUpState, Core::Instant now)
    : m_target(std::move(target))
    , m_warmUpState(warmUpState)
    , m_workAccountedAt(now)
{
}

unsigned TargetRecord::fullLimit() const { return m_target.slots * (1 + requestsAheadForEachSlot); }

void TargetRecord::replaceTarget(Target target)
{
    m_target = std::move(target);
    m_speed = {};
    m_failures = {};
    m_reportsDrainingUntil = {};
    m_isDraining = false;
    m_ignoresColdHint = false;
    becomeCold();
}

void TargetRecord::forgetWarmthBefore(Core::Instant oldest)
{
    if (m_warmUpState == WarmUpState::Warm && m_lastKnownAt < oldest && m_inFlight.empty())
        m_warmUpState = WarmUpState::Unknown;
}

void TargetRecord::observe(TargetState state, Core::Instant now)
{
    m_lastKnownAt = now;
    if (state == TargetState::Draining)
        m_reportsDrainingUntil = now + drainingHintValidity;
    else if (state == TargetState::Cold)
        becomeCold();
    else
        becomeWarm();
}

void TargetRecord::becomeCold()
{
    m_warmUpState = WarmUpState::Cold;
    m_warmUp.restart();
    m_connectFresh = true;
}

void TargetRecord::becomeWarm()
{
    m_warmUpState = WarmUpState::Warm;
    m_warmUp.finish();
}

double TargetRecord::workSince(Core::Instant from, ServiceTimes const& times, Core::Instant now) const
{
    double units = 0;
    for (auto const& request : m_inFlight) {
        auto const typical = times.typical(request.costClass);
        if (request.isRunning && typical > Core::Duration::zero())
            units += std::chrono::duration<double>(now - from) / std::chrono::duration<double>(typical);
    }
    return units;
}

void TargetRecord::accountWork(ServiceTimes const& times, Core::Instant now)
{
    if (!m_inFlight.empty())
        m_speed.addWork(workSince(m_workAccountedAt, times, now), now);
    m_workAccountedAt = now;
}

void TargetRecord::startWaitingRequests(Core::Instant now)
{
    auto running = std::count_if(
        m_inFlight.begin(), m_inFlight.end(), [](InFlightRequest const& request) { return request.isRunning; });
    for (auto& request : m_inFlight) {
        if (running >= static_cast<std::ptrdiff_t>(m_target.slots))
            return;
        if (request.isRunning)
            continue;
        request.isRunning = true;
        request.startedAt = now;
        ++running;
    }
}

void TargetRecord::noteSent(uint8_t costClass, ServiceTimes const& times, Core::Instant now)
{
    accountWork(times, now);
    m_inFlight.push_back({ now, now, false, costClass });
    startWaitingRequests(now);
}

void TargetRecord::noteFinished(
    SendOutcome outcome, Core::Instant sentAt, LoadHint const& hint, ServiceTimes& times, Core::Instant now)
{
    accountWork(times, now);
    auto entry = std::find_if(
        m_inFlight.begin(), m_inFlight.end(), [&](InFlightRequest const& request) { return request.sentAt == sentAt; });
    // A caller that takes its own time stamp may be off by some microseconds; the oldest request is the best match
    // then.
    if (entry == m_inFlight.end())
        entry = m_inFlight.begin();
    if (entry == m_inFlight.end())
        return;
    auto const request = *entry;
    m_inFlight.erase(entry);
    startWaitingRequests(now);
    if (m_inFlight.empty())
        m_isExclusive = false;
    if (outcome == SendOutcome::Cancelled)
        return;

    m_lastKnownAt = now;
    m_connectFresh = !isCompleteAnswer(outcome);
    m_failures.note(outcome, now);
    m_speed.addAnswer(now);

    auto const serviceTime = now - request.startedAt;
    auto const typical = times.typical(request.costClass);
    bool const isSlow = typical > Core::Duration::zero() && serviceTime > slowAnswerInTypicalTimes * typical;
    // Requests that started before the response to another one was seen may have a service time near zero.
    if (outcome == SendOutcome::Answered && request.isRunning && m_warmUpState != WarmUpState::Cold)
        times.add(request.costClass, serviceTime);

    if (hint.state == TargetState::Draining)
        m_reportsDrainingUntil = now + drainingHintValidity;
    noteColdEvidence(outcome, hint, isSlow);
}

void TargetRecord::noteColdEvidence(SendOutcome outcome, LoadHint const& hint, bool isSlow)
{
    bool const reportsCold = hint.state == TargetState::Cold;
    if (!reportsCold && hint.state)
        m_ignoresColdHint = false;

    // A target that sheds requests got more than it can handle, whatever state it reports.
    bool const mayHaveRestarted = outcome == SendOutcome::ConnectFailed || outcome == SendOutcome::ConnectionLost;
    bool const shed = outcome == SendOutcome::Shed;
    if (m_warmUpState == WarmUpState::Warm) {
        // A process that ended comes back cold. A target's own report that it is cold is trusted, unless it reported
        // that all the time while it earned its full limit.
        if (mayHaveRestarted || shed || (reportsCold && !m_ignoresColdHint))
            becomeCold();
        return;
    }

    if (m_warmUpState == WarmUpState::Unknown)
        m_warmUpState = WarmUpState::Cold;
    auto evidence = WarmUp::Evidence::Good;
    if (outcome != SendOutcome::Answered)
        evidence = WarmUp::Evidence::Bad;
    else if (reportsCold || isSlow)
        evidence = WarmUp::Evidence::Doubtful;
    m_warmUp.note(evidence, fullLimit());
    if (!m_warmUp.isCold()) {
        m_warmUpState = WarmUpState::Warm;
        m_ignoresColdHint = reportsCold;
    }
}

double TargetRecord::expectedWork(uint8_t costClass, ServiceTimes const& times) const
{
    auto const own = times.typical(costClass);
    double work = 0;
    for (auto const& request : m_inFlight) {
        auto const typical = times.typical(request.costClass);
        bool const isKnown = own > Core::Duration::zero() && typical > Core::Duration::zero();
        work += isKnown ? static_cast<double>(typical.count()) / static_cast<double>(own.count()) : 1;
    }
    return work;
}

bool TargetRecord::isOccupiedByLongRequests(uint8_t costClass, ServiceTimes const& times) const
{
    auto const own = times.typical(costClass);
    auto const longRequests = std::count_if(m_inFlight.begin(), m_inFlight.end(), [&](auto const& request) {
        return request.isRunning && own > Core::Duration::zero()
            && times.typical(request.costClass) >= longRequestInTypicalTimes * own;
    });
    return longRequests >= static_cast<std::ptrdiff_t>(m_target.slots);
}

double TargetRecord::slowness(ServiceTimes const& times, Core::Instant now) const
{
    return m_speed.slowness(workSince(m_workAccountedAt, times, now), m_inFlight.empty(), now);
}

}
