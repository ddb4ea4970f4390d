#include "UsagePusher.h"

#include "BufferedGet.h"
#include "Members.h"
#include "UsageReporter.h"

namespace Comfreysail::Daemon {

using HTTP::awaitable;

namespace {

// With two collectors the loss of one loses no counts.
constexpr size_t collectors = 2;
// A daemon that is cut off does not try all others in one round.
constexpr size_t maxAttempts = 4;
// The daemons that may report. One of the first ones that respond has the counts.
constexpr size_t maxCandidates = 6;
constexpr size_t maxReplyBytes = 1024;

}

UsagePusher::UsagePusher(
    boost::asio::io_context& context, HTTP::ConnectionPool& pool, EntryState& state, std::string vmName)
    : m_context(context)
    , m_pool(pool)
    , m_state(state)
    , m_vmName(std::move(vmName))
{
}

std::vector<Traffic::RelayMember> const& UsagePusher::members()
{
    auto const version = m_state.sharedRows.versionOf(Platform::Table::members);
    if (version == m_membersVersion)
        return m_members;
    m_membersVersion = version;
    m_members = Traffic::rankedMembers(membersOf(m_state.sharedRows));
    return m_members;
}

std::optional<size_t> UsagePusher::position()
{
    size_t position = 0;
    for (auto const& member : members()) {
        if (member.name == m_vmName)
            return position < maxCandidates ? std::optional(position) : std::nullopt;
        if (!m_backoff.hasFailed(member.name))
            ++position;
    }
    return std::nullopt;
}

void UsagePusher::dropOldWindows()
{
    auto const& windows = m_state.usage->own.windows;
    for (auto& [name, confirmed] : m_confirmed)
        std::erase_if(confirmed.counts, [&](auto const& entry) { return !windows.contains(entry.first); });
}

bool UsagePusher::hasNewCounts()
{
    size_t found = 0;
    for (auto const& member : members()) {
        if (found == collectors)
            break;
        if (m_backoff.isBackingOff(member.name, Core::monotonicNow()))
            continue;
        ++found;
        auto const& own = m_state.usage->own.windows;
        if (member.name != m_vmName && !Usage::countsBeyond(own, m_confirmed[member.name].counts).empty())
            return true;
    }
    return false;
}

awaitable<void> UsagePusher::push(bool isForced, Core::Duration timeout)
{
    // The member list may change during a call.
    auto const ranked = members();
    size_t reached = 0;
    size_t attempts = 0;
    m_hasOffset = false;
    for (auto const& member : ranked) {
        if (reached == collectors || attempts == maxAttempts)
            break;
        if (member.name == m_vmName) {
            if (!m_state.usage->duty.isCutOffFromStore)
                ++reached;
            auto const offset = agreedOffset(*m_state.usage, ranked.size(), Core::wallNow(), Core::monotonicNow());
            if (offset && !std::exchange(m_hasOffset, true))
                m_state.usage->clock.agreedOffset = offset;
            continue;
        }
        if (m_backoff.isBackingOff(member.name, Core::monotonicNow()))
            continue;
        ++attempts;
        if (co_await pushTo(member, isForced, timeout))
            ++reached;
    }
}

awaitable<bool> UsagePusher::pushTo(Traffic::RelayMember member, bool isForced, Core::Duration timeout)
{
    auto const endpoint = parseEndpoint(member.endpoint);
    if (!endpoint)
        co_return false;
    // A collector that has restarted has none of the counts; it gets all of them with the second push.
    for (unsigned attempt = 0; attempt < 2; ++attempt) {
        auto const& usage = *m_state.usage;
        Usage::UsagePush push { m_vmName, usage.incarnation,
            Usage::wallOffset(usage.clock, Core::wallNow(), Core::monotonicNow()),
            Usage::countsBeyond(usage.own.windows, m_confirmed[member.name].counts) };
        if (push.counts.empty() && !isForced)
            co_return true;
        auto const reply = co_await exchange(*endpoint, push, timeout);
        m_state.metrics.counter("comfreysail_usage_pushes_total", { { "result", reply ? "answered" : "failed" } })
            .add();
        if (!reply) {
            m_backoff.noteFailed(member.name, {}, Core::monotonicNow());
            co_return false;
        }
        m_backoff.noteAnswered(member.name);
        bool const knewCounts = !m_confirmed[member.name].counts.empty();
        bool const hasRestarted = m_confirmed[member.name].incarnation != reply->incarnation;
        noteReply(member.name, *reply, push.counts);
        // The next one in the ranking gets the counts too, as it may have to report.
        bool const countsAsReached = !reply->isCutOffFromStore;
        if (!hasRestarted || !knewCounts)
            co_return countsAsReached;
    }
    co_return true;
}

void UsagePusher::noteReply(
    std::string const& member, Usage::UsageReply const& reply, Usage::CountsByWindow const& sent)
{
    auto& confirmed = m_confirmed[member];
    if (confirmed.incarnation != reply.incarnation)
        confirmed = { reply.incarnation, {} };
    Usage::mergeCounts(confirmed.counts, sent);
    auto& usage = *m_state.usage;
    Usage::noteOtherCollector(usage.collected, reply.heard, Core::monotonicNow());
    if (reply.closed)
        Usage::noteClosed(usage.duty, *reply.closed);
    if (reply.agreedOffset && !std::exchange(m_hasOffset, true))
        usage.clock.agreedOffset = reply.agreedOffset;
}

awaitable<std::optional<Usage::UsageReply>> UsagePusher::exchange(
    HTTP::Endpoint endpoint, Usage::UsagePush const& push, Core::Duration timeout)
{
    auto const now = Core::monotonicNow();
    auto connection = m_pool.take(endpoint, HTTP::ReusePolicy::Any, now);
    if (!connection)
        connection = m_pool.create(endpoint);
    BufferedGetLimits const limits { .maxBodyBytes = maxReplyBytes, .deadline = now + timeout };
    std::string path(usagePushPath);
    auto body = Usage::encodePush(push);
    auto const exchange
        = co_await bufferedPost(m_pool, std::move(connection), std::move(path), std::move(body), limits);
    if (!exchange.response || exchange.response->head.status != Platform::statusOk)
        co_return std::nullopt;
    auto reply = Usage::decodeReply(exchange.response->body);
    co_return isError(reply) ? std::nullopt : std::optional(takeValue(std::move(reply)));
}

}
