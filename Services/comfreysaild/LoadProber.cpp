#include "LoadProber.h"

#include "BufferedGet.h"
#include "EntryMetrics.h"
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <charconv>
#include <platform/Platform.h>

namespace Comfreysail::Daemon {

using Core::Instant;
using HTTP::awaitable;
namespace asio = boost::asio;

namespace {

// A working target responds to a probe at once. One that takes longer is treated as unreachable.
constexpr auto probeTimeout = std::chrono::milliseconds(250);
// On a machine without processor time to spare, the daemon wakes up late, and so do its targets: at 100 busy processes
// on one core, timers fired 60 ms late and targets took over 250 ms. Each step of the wait may be repeated once then.
constexpr unsigned maxUncountedSteps = probeTimeout / HTTP::SteppedWait::stepLength;
// A response that may have waited longer for this process to read it is outdated. It is twice the timeout, because
// timers fire late under full load.
constexpr auto maxReadDelay = 2 * probeTimeout;
// A pooled connection may be dead, and the response on a new one outdated.
constexpr unsigned maxAttempts = 3;
constexpr unsigned statusOk = 200;
// A target that states a longer time as a cold target is asked again after this one.
constexpr int64_t maxColdMilliseconds = int64_t { 3600 } * 1000;
// Only the head of the response to a probe counts. A target in trouble may send a body without end.
constexpr size_t maxProbeBodyBytes = size_t { 16 } * 1024;

std::optional<int64_t> parseInteger(std::optional<std::string_view> text)
{
    int64_t number = 0;
    if (!text || std::from_chars(text->data(), text->data() + text->size(), number).ec != std::errc())
        return std::nullopt;
    return number;
}

}

struct LoadProber::Session::State {
    asio::steady_timer timer;
    std::function<bool()> isSatisfied;
    size_t pending { 0 }; ///< Probes of all rounds that have not ended.
    size_t pendingInRound { 0 };
    unsigned round { 0 };
    Instant lateUntil {};
    bool waitsForAll { false }; ///< The wait lasts until the probes of all rounds have ended.
};

LoadProber::Session::Session(asio::io_context& context, std::function<bool()> isSatisfied, Instant lateUntil)
    : m_state(std::make_shared<State>(State { asio::steady_timer(context), std::move(isSatisfied) }))
{
    m_state->lateUntil = lateUntil;
}

// `isSatisfied` refers to the request, which may end before the last probe does.
LoadProber::Session::~Session() { m_state->isSatisfied = nullptr; }

bool LoadProber::Session::hasPendingProbes() const { return m_state->pending > 0; }

void LoadProber::Session::stopWaiting() { m_state->timer.cancel(); }

LoadProber::LoadProber(asio::io_context& context, HTTP::ConnectionPool& pool, EntryState& state)
    : m_context(context)
    , m_pool(pool)
    , m_state(state)
{
}

awaitable<void> LoadProber::probe(
    Session& session, std::vector<std::string> const& targets, std::string healthPath, Core::Duration longestWait)
{
    auto const state = session.m_state;
    ++state->round;
    state->pending += targets.size();
    state->pendingInRound = targets.size();
    state->waitsForAll = false;
    state->timer.expires_after(longestWait);
    for (auto const& target : targets)
        asio::co_spawn(m_context, probeOne(target, healthPath, state, state->round), asio::detached);
    co_await state->timer.async_wait(HTTP::useTuple);
}

awaitable<void> LoadProber::waitForPending(Session& session, Instant deadline)
{
    auto const state = session.m_state;
    if (state->pending == 0)
        co_return;
    state->waitsForAll = true;
    state->timer.expires_at(deadline);
    co_await state->timer.async_wait(HTTP::useTuple);
}

awaitable<void> LoadProber::probeOne(
    std::string id, std::string healthPath, std::shared_ptr<Session::State> session, unsigned round)
{
    if (auto const* const record = m_state.directory.find(id))
        co_await probeTarget(record->target, std::move(healthPath), session->lateUntil);
    --session->pending;
    if (round == session->round)
        --session->pendingInRound;
    auto const awaited = session->waitsForAll ? session->pending : session->pendingInRound;
    if (awaited == 0 || (session->isSatisfied && session->isSatisfied()))
        session->timer.cancel();
}

awaitable<void> LoadProber::probeTarget(Traffic::RegisteredTarget target, std::string healthPath, Instant lateUntil)
{
    HTTP::Endpoint const endpoint { target.address, target.port };
    ProbeStart const start { Core::monotonicNow(), m_state.pauses.noteTick(Core::suspendAwareNow()),
        hasFailed(target) };
    auto outcome = Outcome::Outdated; // Nothing is known of the target yet.
    for (unsigned attempt = 0; attempt < maxAttempts && outcome != Outcome::Responded; ++attempt) {
        // A pooled connection may be dead although the target works, so a failed probe is repeated on a new one.
        auto connection = outcome == Outcome::Failed
            ? nullptr
            : m_pool.take(endpoint, HTTP::ReusePolicy::Any, Core::monotonicNow());
        if (connection) {
            outcome = co_await exchange(std::move(connection), target, healthPath);
            continue;
        }
        // Without room for a connection, nothing is learned about the target.
        if (!m_pool.makeRoom(HTTP::ConnectionUse::Probe))
            co_return;
        connection = m_pool.create(endpoint);
        bool isWaitedFor = false;
        // Without another target the request would be refused now, although this one may merely have had no processor
        // time. A target that failed before and has not answered since is not waited for again.
        std::function<std::optional<Instant>()> onDeadline = [&]() -> std::optional<Instant> {
            isWaitedFor = !start.hadFailed && !hasOtherTarget(target) && Core::monotonicNow() < lateUntil;
            if (!isWaitedFor)
                return std::nullopt;
            noteFailedProbe(target, start, true);
            return lateUntil;
        };
        outcome = co_await exchange(connection, target, healthPath, std::move(onDeadline));
        bool const isConnected = connection->openedAt() != Instant {};
        if (isConnected)
            countTargetConnection(m_state, "probe");
        if (outcome != Outcome::Failed)
            continue;
        if (connection->hasFailedLocally()) {
            Telemetry::EventLine("load_probe_not_sent").add("target", target.id).logInfo();
            co_return;
        }
        bool const hasAnsweredAnother = isWaitedFor && !hasFailed(target);
        if (!hasAnsweredAnother)
            noteFailedProbe(target, start, isConnected);
        co_return;
    }
}

void LoadProber::noteFailedProbe(Traffic::RegisteredTarget const& target, ProbeStart const& start, bool isConnected)
{
    // After a pause of this process, a missing response says nothing about the target.
    bool const wasPaused = m_state.pauses.noteTick(Core::suspendAwareNow()) != start.pauses;
    if (!wasPaused)
        m_state.directory.noteFault(target.id, Traffic::TargetFault::Unreachable, Core::monotonicNow());
    Telemetry::EventLine("load_probe_failed")
        .add("target", target.id)
        .add("connected", isConnected)
        .add("took_ms", Core::toMilliseconds(Core::monotonicNow() - start.at))
        .add("process_was_paused", wasPaused)
        .logInfo();
}

bool LoadProber::hasFailed(Traffic::RegisteredTarget const& target) const
{
    auto const* const record = m_state.directory.find(target.id);
    return record && record->failureStreak > 0;
}

awaitable<bool> LoadProber::hasEnded(Traffic::RegisteredTarget target)
{
    // A target must not be taken for crashed because this process has no room for a connection.
    if (!m_pool.makeRoom(HTTP::ConnectionUse::Probe))
        co_return false;
    auto const connection = m_pool.create({ target.address, target.port });
    auto const watchdog = HTTP::Watchdog::create(co_await asio::this_coro::executor);
    watchdog->arm(Core::monotonicNow() + probeTimeout, [&connection] { connection->close(); });
    co_await connection->connect();
    watchdog->disarm();
    if (connection->openedAt() != Instant {})
        countTargetConnection(m_state, "check");
    m_pool.discard(connection, false);
    co_return connection->wasRefused();
}

bool LoadProber::hasOtherTarget(Traffic::RegisteredTarget const& target) const
{
    auto const eligible
        = m_state.directory.eligible(target.service, target.version, m_state.zonesOutOfService, Core::monotonicNow());
    return std::ranges::any_of(eligible, [&](auto const* record) { return record->target.id != target.id; });
}

awaitable<LoadProber::Outcome> LoadProber::exchange(std::shared_ptr<HTTP::ClientConnection> connection,
    Traffic::RegisteredTarget const& target, std::string const& healthPath,
    std::function<std::optional<Instant>()> onDeadline)
{
    auto const sentAt = Core::monotonicNow();
    bool isLate = false;
    BufferedGetLimits limits {
        .maxBodyBytes = maxProbeBodyBytes, .deadline = sentAt + probeTimeout, .maxUncountedSteps = maxUncountedSteps
    };
    if (onDeadline) {
        limits.onDeadline = [&isLate, &onDeadline] {
            isLate = true;
            return onDeadline();
        };
    }
    auto const exchange = co_await bufferedGet(m_pool, std::move(connection), healthPath, limits);
    auto const& response = exchange.response;
    // A load report that arrived while the process was paused is outdated.
    bool const isOutdated = exchange.headWait + exchange.bodyTime > maxReadDelay;
    // Before the response is looked at, which may eject the target again.
    if (response && !isOutdated && isLate)
        m_state.directory.noteAnswered(target.id);
    if (response && !isOutdated)
        noteAnswer(target, response->head, sentAt);
    m_state.metrics.counter("comfreysail_load_questions_total", { { "answered", response ? "true" : "false" } }).add();
    if (isOutdated)
        co_return Outcome::Outdated;
    co_return response ? Outcome::Responded : Outcome::Failed;
}

void LoadProber::noteAnswer(Traffic::RegisteredTarget const& target, HTTP::ResponseHead const& head, Instant sentAt)
{
    auto const& names = Platform::headerNames();
    auto const now = Core::monotonicNow();
    auto& directory = m_state.directory;
    auto const respondingId = head.fields.find(names.targetId);
    if (respondingId && *respondingId != target.id) {
        directory.noteFault(target.id, Traffic::TargetFault::OtherTarget, now);
        return;
    }
    if (respondingId)
        noteSignals(m_state, target.id, Platform::decodeTargetSignals(head.fields), true, sentAt, now);
    if (head.status != statusOk) {
        directory.noteFault(target.id, Traffic::TargetFault::Unreachable, now);
        return;
    }
    if (auto const cold = parseInteger(head.fields.find(names.coldMilliseconds)))
        directory.noteCold(
            target.id, std::chrono::milliseconds(std::clamp<int64_t>(*cold, 0, maxColdMilliseconds)), now);
    auto const load = Traffic::parseTargetLoad(head.fields.find(names.load).value_or(""));
    if (load) {
        directory.noteLoad(target.id, *load, now);
        m_state.overload.capacities[target.service].note(*load, now, m_state.overload.options);
        m_state.servicesWithoutLoadReports.erase(target.service);
    } else
        m_state.servicesWithoutLoadReports.insert(target.service);
}

}
