#include "UsageReporter.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Comfreysail::Daemon {

namespace asio = boost::asio;
using Core::Duration;
using HTTP::awaitable;
using Usage::DutyAction;
using Usage::DutyStep;
using namespace std::chrono_literals;

namespace {

constexpr auto tickInterval = 100ms;
// While counts change. A daemon that is killed loses the counts of this time.
constexpr Duration minPushInterval = 1s;
// Limits the pushes that a collector gets to 50 a second. With many daemons one of them has a small share of the
// counts.
constexpr Duration pushIntervalPerMember = 20ms;
// Spreads the pushes of all daemons after the end of a window. They have to arrive before the first candidate reports.
// Not at once, since the targets' refusals of the last sends arrive a moment later.
constexpr Duration minPushDelay = 300ms;
constexpr Duration maxPushDelay = 1300ms;
constexpr auto pushTimeout = 500ms;
constexpr auto storeTimeout = 900ms;
// The longest wait between two decisions. The ranking may change meanwhile.
constexpr Duration maxDutyWait = 250ms;
constexpr auto pauseOfNoCandidate = 1s;
// The positions by which a candidate stands back while it does not get the counts of all that another one gets.
constexpr size_t positionsWithoutCounts = 3;
// A push of 74 departments and four windows takes about 8 KB.
constexpr size_t maxPushBytes = size_t { 256 } * 1024;

std::string_view nameOf(Platform::UsageEnd end)
{
    switch (end) {
    case Platform::UsageEnd::Accepted:
        return "accepted";
    case Platform::UsageEnd::TooMany:
        return "too_many";
    case Platform::UsageEnd::Refused:
        return "refused";
    case Platform::UsageEnd::Failed:
        break;
    }
    return "failed";
}

}

UsageReporter::UsageReporter(asio::io_context& context, HTTP::ConnectionPool& pool, Platform::StoreClient& store,
    EntryState& state, std::string vmName, HTTP::Endpoint const& platform)
    : m_context(context)
    , m_store(store)
    , m_state(state)
    , m_usage(*state.usage)
    , m_pusher(context, pool, state, std::move(vmName))
    , m_platform(context.get_executor(), platform.address, platform.port)
{
}

void UsageReporter::start()
{
    asio::co_spawn(m_context, pushLoop(), asio::detached);
    asio::co_spawn(m_context, dutyLoop(), asio::detached);
}

awaitable<void> UsageReporter::pause(Duration duration)
{
    asio::steady_timer timer(m_context, duration);
    co_await timer.async_wait(HTTP::useTuple);
}

Usage::DutyTime UsageReporter::dutyTime() const
{
    return { Usage::trueTimeAt(m_usage.clock, Core::monotonicNow()), Core::suspendAwareNow() };
}

awaitable<void> UsageReporter::pushLoop()
{
    std::uniform_int_distribution<Duration::rep> delay(minPushDelay.count(), maxPushDelay.count());
    std::optional<Usage::WindowId> lastWindow;
    Core::Instant pushedAt {};
    std::optional<Core::Instant> forcedAt;
    while (true) {
        co_await pause(tickInterval);
        auto const now = Core::monotonicNow();
        maintainUsage(m_usage, m_state.storeClock.at(now), now);
        m_pusher.dropOldWindows();
        auto const trueTime = Usage::trueTimeAt(m_usage.clock, now);
        auto const window = trueTime ? std::optional(Usage::windowAt(m_usage.options, *trueTime)) : std::nullopt;
        if (std::exchange(lastWindow, window) != window)
            forcedAt = now + Duration(delay(m_generator));
        auto const pushInterval
            = std::max(minPushInterval, static_cast<Duration::rep>(m_pusher.memberCount()) * pushIntervalPerMember);
        bool const isForced = (forcedAt && now >= *forcedAt) || (!window && now - pushedAt >= pushInterval);
        bool const isDue = now - pushedAt >= pushInterval && m_pusher.hasNewCounts();
        if (!isForced && !isDue)
            continue;
        if (isForced)
            forcedAt.reset();
        pushedAt = now;
        co_await m_pusher.push(isForced, pushTimeout);
    }
}

awaitable<void> UsageReporter::pushBeforeExit(Duration timeout) { return m_pusher.push(false, timeout); }

awaitable<void> UsageReporter::handle(HTTP::ServerExchange& exchange)
{
    std::string body;
    while (body.size() <= maxPushBytes) {
        auto const offset = body.size();
        body.resize(offset + 4096);
        auto const size = co_await exchange.readBody(std::span(body).subspan(offset));
        body.resize(offset + (isError(size) ? 0 : valueOf(size)));
        if (isError(size))
            co_return;
        if (valueOf(size) == 0)
            break;
    }
    HTTP::ResponseHead head;
    head.fields.add("Content-Type", "application/json");
    auto const push = Usage::decodePush(body);
    if (isError(push)) {
        Telemetry::EventLine("usage_push_refused").add("reason", errorOf(push).detail).logWarning();
        head.status = 400;
        co_await exchange.respond(std::move(head), "{}");
        co_return;
    }
    auto const now = Core::monotonicNow();
    Usage::mergePush(m_usage.collected, valueOf(push), Usage::trueTimeAt(m_usage.clock, now), now);
    Usage::UsageReply const reply { m_usage.incarnation, m_usage.duty.closed,
        agreedOffset(m_usage, m_pusher.memberCount(), Core::wallNow(), now), m_usage.duty.isCutOffFromStore,
        Usage::recentSources(m_usage.collected, now) + 1 };
    co_await exchange.respond(std::move(head), Usage::encodeReply(reply));
}

awaitable<void> UsageReporter::dutyLoop()
{
    while (true) {
        auto const position = m_pusher.position();
        if (!position) {
            co_await pause(pauseOfNoCandidate);
            continue;
        }
        updatePosition(*position);
        auto step = co_await decide();
        co_await run(std::move(step));
    }
}

void UsageReporter::updatePosition(size_t position)
{
    auto const now = Core::monotonicNow();
    auto const pauses = m_state.pauses.noteTick(Core::suspendAwareNow());
    if (std::exchange(m_pauses, pauses) != pauses)
        Usage::notePause(m_usage.collected, pushTimeout, now);
    // While this daemon is paused or cut off from others, these send their counts to other candidates, and they resume
    // sending to this one only when their back-off ends.
    bool const hasCounts = Usage::hasCountsOfMost(m_usage.collected, m_pusher.memberCount(), now);
    m_usage.duty.position = hasCounts ? position : position + positionsWithoutCounts;
}

awaitable<DutyStep> UsageReporter::decide()
{
    auto step = Usage::nextStep(m_usage.duty, dutyTime());
    bool const isReplaced = step.action == DutyAction::ReadRow && m_usage.duty.position > 0;
    auto const trueTime = dutyTime().trueTime;
    auto const window = trueTime ? std::optional(Usage::windowAt(m_usage.options, *trueTime)) : std::nullopt;
    // Another candidate has usually reported the window meanwhile and says so, which costs no read of the store.
    if (isReplaced && std::exchange(m_askedFor, window) != window) {
        co_await m_pusher.push(true, pushTimeout);
        step = Usage::nextStep(m_usage.duty, dutyTime());
    }
    co_return step;
}

awaitable<void> UsageReporter::run(DutyStep step)
{
    switch (step.action) {
    case DutyAction::Wait:
        co_await pause(std::clamp<Duration>(step.until - Core::suspendAwareNow(), 1ms, maxDutyWait));
        break;
    case DutyAction::ReadRow:
        co_await readRow();
        break;
    case DutyAction::WriteRow:
        co_await writeRow();
        break;
    case DutyAction::Send:
        co_await sendReport(std::move(step));
        break;
    }
}

void UsageReporter::noteStoreCall(bool isAnswered)
{
    m_state.metrics
        .counter("comfreysail_store_calls_total",
            { { "table", std::string(Platform::Table::duties) }, { "result", isAnswered ? "answered" : "failed" } })
        .add();
}

awaitable<void> UsageReporter::readRow()
{
    Usage::DutyRead read;
    read.startedAt = Core::suspendAwareNow();
    std::string const key(Platform::Duty::usage);
    Platform::RowRange range { std::string(Platform::Table::duties), "", key, "", 1 };
    auto const page = co_await m_store.readRows(std::move(range), Core::monotonicNow() + storeTimeout);
    bool const isUsable = !isError(page) && valueOf(page).storeTime;
    noteStoreCall(isUsable);
    if (!isUsable) {
        Usage::noteStoreFailure(m_usage.duty, dutyTime());
        co_return;
    }
    read.storeRevision = valueOf(page).storeRevision;
    read.storeTime = *valueOf(page).storeTime;
    for (auto const& row : valueOf(page).rows) {
        if (row.key != key)
            continue;
        read.text = row.value;
        read.revision = row.revision;
    }
    Usage::noteRead(m_usage.duty, read, dutyTime());
    if (read.text && !m_usage.duty.row)
        Telemetry::EventLine("usage_row_invalid").add("revision", read.revision).logError();
}

awaitable<void> UsageReporter::writeRow()
{
    auto const write = Usage::composeWrite(
        m_usage.duty, [this](Usage::WindowId window) { return countsOfAllDaemons(m_usage, window); }, dutyTime());
    Platform::RowTransaction transaction;
    Platform::StoreRow row { "", std::string(Platform::Duty::usage), write.text, write.expectedRevision,
        std::string(Platform::Table::duties) };
    transaction.conditions.push_back(row);
    transaction.puts.push_back(std::move(row));
    auto const committed = co_await m_store.commit(std::move(transaction), Core::monotonicNow() + storeTimeout);
    noteStoreCall(!isError(committed));
    if (isError(committed)) {
        Telemetry::EventLine("usage_write_failed").add("reason", errorOf(committed).detail).logWarning();
        Usage::noteWriteUnknown(m_usage.duty, write, dutyTime());
    } else if (!valueOf(committed)) {
        Usage::noteConflict(m_usage.duty);
    } else {
        Usage::noteWritten(m_usage.duty, write, *valueOf(committed));
        noteWrite(write);
    }
}

void UsageReporter::noteWrite(Usage::DutyWrite const& write)
{
    if (write.isTakeover) {
        m_state.metrics.counter("comfreysail_usage_takeovers_total").add();
        Telemetry::EventLine("usage_duty_taken")
            .add("token", write.row.token)
            .add("position", m_usage.duty.position)
            .add("closed", write.row.closed)
            .add("fixed", write.row.fixed.size())
            .logInfo();
    }
    if (!write.firstAbandoned)
        return;
    auto const count = static_cast<uint64_t>(write.row.closed - *write.firstAbandoned + 1);
    m_state.metrics.counter("comfreysail_usage_windows_abandoned_total").add(count);
    Telemetry::EventLine("usage_windows_abandoned")
        .add("first", *write.firstAbandoned)
        .add("last", write.row.closed)
        .add("reason", write.isTooLarge ? "row_too_large" : "too_late")
        .logError();
}

awaitable<void> UsageReporter::sendReport(DutyStep step)
{
    auto const window = step.report.window;
    auto const startedAt = Core::suspendAwareNow();
    // A pause may have ended the lease since the decision, or until the connection is established.
    std::function<bool()> mayStart = [this, until = step.sendUntil] {
        return Core::suspendAwareNow() < until && Usage::hasLeaseUntil(m_usage.duty, until);
    };
    Platform::UsageReport report { window, std::move(step.report.counts), m_usage.duty.self, step.token };
    uint64_t requests = 0;
    for (auto const& [department, count] : report.counts)
        requests += count;
    auto const end = co_await m_platform.send(
        std::move(report), Core::monotonicNow() + (step.sendUntil - startedAt), std::move(mayStart));
    m_state.metrics.counter("comfreysail_usage_reports_total", { { "result", std::string(nameOf(end)) } }).add();
    bool const isAccepted = end == Platform::UsageEnd::Accepted;
    Telemetry::EventLine line(isAccepted ? "usage_reported" : "usage_report_failed");
    line.add("window", window)
        .add("token", step.token)
        .add("requests", requests)
        .add("daemons", Usage::recentSources(m_usage.collected, Core::monotonicNow()) + 1)
        .add("result", nameOf(end))
        .add("took_ms", Core::toMilliseconds(Core::suspendAwareNow() - startedAt));
    if (isAccepted) {
        line.logInfo();
        Usage::noteSent(m_usage.duty, window);
    } else {
        line.logWarning();
        Usage::noteSendFailure(m_usage.duty, dutyTime());
    }
}

}
