#include "StoreFollower.h"

#include "Members.h"
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <random>
#include <utility>

namespace Comfreysail::Daemon {

namespace asio = boost::asio;
using Core::Instant;
using HTTP::awaitable;
using namespace std::chrono_literals;

namespace {

// A change has to be in force everywhere within 2 s, which includes one interval, a slow store response and the way
// through the tree of daemons.
constexpr auto readInterval = 850ms;
constexpr auto membersInterval = 2s;
constexpr auto registrationInterval = 3s;
constexpr auto pauseAfterFailure = 100ms;
// A source usually holds a request back until there is a change. One that does not, or many changes in succession, must
// not exceed the limit for control traffic. A request and its response without rows take about 600 bytes.
constexpr auto minPollInterval = 30ms;
// After this many unresponsive daemons a round ends early: this daemon is probably cut off from all others, and has to
// read the store before a change is overdue.
constexpr size_t maxUnresponsiveSources = 2;
// Each response yields a slightly different time for the same store read. Store reads are further apart than this.
constexpr auto readTimeTolerance = 200ms;
// Daemons that start together with their seeds let these read the store first. Short, since a daemon without rows
// refuses all requests.
constexpr auto seedHeadStart = 150ms;
// Longer at the first start, to save store calls of all daemons: the first callers come 8 s after it at the earliest,
// so no request is refused meanwhile.
constexpr auto seedHeadStartAtFirstStart = 5s;
// At the first start the seeds send all rows to each other daemon, which takes about 60 ms each on a 10 Mbit/s link. A
// random delay up to this spreads the requests.
constexpr auto firstQuerySpread = 3s;
// The timeout of a long poll exceeds its wait by this margin. It is short enough to detect an unresponsive source and
// poll another one within the 2 s in which changes have to be in force.
constexpr auto responseMargin = 250ms;
// A response that is arriving is read for longer, since a retry would not be faster. Its rows are older than
// maxFreshAge then, so a newer response is requested next.
constexpr auto maxTransferTime = 1500ms;
constexpr RelayQuery longPollQuery {
    .wait = 450ms, .timeout = 450ms + responseMargin, .transferTime = maxTransferTime
};
// Limits how often a source is polled whose rows are about to become stale.
constexpr auto minWait = 150ms;
constexpr RelayQuery immediateQuery { .wait = 0ms, .timeout = responseMargin, .transferTime = maxTransferTime };
constexpr RelayQuery queryAtFirstStart { .wait = 0ms, .timeout = 1500ms, .transferTime = maxTransferTime };
// After a restart the daemon refuses requests until it has rows, so the timeout is short. A working seed inside the
// region responds sooner.
constexpr RelayQuery queryAtStart { .wait = 0ms, .timeout = 60ms };
constexpr auto pauseWithoutRows = 30ms;
// After a start, stale rows of another daemon are used only if the store does not respond either, or after this time:
// that daemon may have been cut off while targets left and routes were withdrawn.
constexpr auto staleRowsDelay = 500ms;
// Expected number of followers that advance the moves in one round of store reads by all followers.
constexpr double followersThatAdvanceMoves = 6;
// Backoff after a failed store read, so that an unavailable store is not overloaded by all daemons.
constexpr auto minStoreBackoff = 500ms;
constexpr auto maxStoreBackoffAtStart = 2s;
// May be long: the readers and standby readers retry sooner, and the other daemons get the rows from them.
constexpr auto maxStoreBackoff = 5s;
// Of a daemon that is not a member and gets no rows from others. A change has to be in force 2 s after the store's
// return at the earliest, and a call and the polls before it take a part of that.
constexpr auto maxStoreBackoffWithoutSource = 1500ms;

Core::Duration randomUpTo(Core::Duration longest)
{
    thread_local std::mt19937 generator { std::random_device {}() };
    std::uniform_int_distribution<Core::Duration::rep> spread(0, longest.count());
    return Core::Duration(spread(generator));
}

double randomUnit()
{
    thread_local std::mt19937 generator { std::random_device {}() };
    return std::uniform_real_distribution<double>(0, 1)(generator);
}

}

StoreFollower::StoreFollower(asio::io_context& context, StoreReader& reader, Relay& relay, RowAdopter& adopter,
    MoveController& moveController, CrashReporter& crashReporter, EntryState& state, Traffic::RelayMember self,
    std::vector<std::string> seeds, bool isFirstStart)
    : m_context(context)
    , m_reader(reader)
    , m_relay(relay)
    , m_adopter(adopter)
    , m_moveController(moveController)
    , m_crashReporter(crashReporter)
    , m_state(state)
    , m_self(std::move(self))
    , m_seeds(std::move(seeds))
    , m_isFirstStart(isFirstStart)
{
}

void StoreFollower::start()
{
    m_startedAt = Core::monotonicNow();
    asio::co_spawn(m_context, follow(), asio::detached);
}

awaitable<void> StoreFollower::pause(Core::Duration duration)
{
    asio::steady_timer timer(m_context, duration);
    co_await timer.async_wait(HTTP::useTuple);
}

std::vector<Traffic::RelayMember> const& StoreFollower::members()
{
    auto const version = m_state.sharedRows.versionOf(Platform::Table::members);
    if (version == m_membersVersion)
        return m_members;
    m_membersVersion = version;
    m_members = membersOf(m_state.sharedRows);
    m_sources = Traffic::relaySources(m_self.name, m_members, {});
    m_role = Traffic::relayRole(m_self.name, m_members, {});
    return m_members;
}

void StoreFollower::adoptRows()
{
    bool const hasTargets = m_state.sharedRows.revisionOf(Platform::Table::targets) > 0;
    // Applies each newer store read even if nothing changed, since the directory tracks how long the registry was not
    // read.
    if (hasTargets && m_state.rowsReadAt - m_adoptedReadAt > readTimeTolerance) {
        m_adoptedReadAt = m_state.rowsReadAt;
        m_adopter.adoptTargets(Core::monotonicNow());
    }
    if (m_adoptedVersion == m_state.sharedRows.version() && m_adoptedVerdicts == m_state.verdicts)
        return;
    m_adoptedVersion = m_state.sharedRows.version();
    m_adoptedVerdicts = m_state.verdicts;
    m_adopter.adoptDecisions();
    m_relay.noteChange();
}

bool StoreFollower::mayAdoptRows(RelayResult result, Instant now) const
{
    return m_state.hasReadTargets || result == RelayResult::Fresh || m_storeTriedAt != Instant {}
    || now - m_startedAt >= staleRowsDelay;
}

bool StoreFollower::isSeed() const { return std::ranges::find(m_seeds, m_self.endpoint) != m_seeds.end(); }

Traffic::RelayRole StoreFollower::role()
{
    // Until the member list is known, the seeds are the readers.
    if (members().empty() && isSeed())
        return Traffic::RelayRole::Reader;
    return m_role;
}

bool StoreFollower::mayReadStore(Traffic::RelayRole role, Instant now) const
{
    if (now - m_storeTriedAt < m_storeBackoff)
        return false;
    if (!m_state.hasReadTargets) {
        auto const headStart
            = m_isFirstStart ? Core::Duration(seedHeadStartAtFirstStart) : Core::Duration(seedHeadStart);
        return isSeed() || m_seeds.empty() || now - m_startedAt >= headStart;
    }
    // If no daemon responded, this daemon is the one that is cut off, and waiting for the standby readers is useless.
    bool const waitsForStandbyReaders = role == Traffic::RelayRole::Follower && m_lastPollResult == RelayResult::Stale;
    return !waitsForStandbyReaders || now - m_staleSince.value_or(now) >= Traffic::RelayOptions().standbyHeadStart;
}

Core::Duration StoreFollower::maxBackoffOfFollower() const
{
    if (!m_state.hasReadTargets)
        return maxStoreBackoffAtStart;
    // Readers pass rows on to the members, and seeds to daemons that are not members yet. Both must not read the store
    // more often because of an outage. A seed that is not a member itself reads it for the others.
    bool const isMember = std::ranges::find(m_members, m_self.name, &Traffic::RelayMember::name) != m_members.end();
    bool const hasSource = m_lastPollResult == RelayResult::Stale && !isSeed();
    return isMember || hasSource ? maxStoreBackoff : maxStoreBackoffWithoutSource;
}

bool StoreFollower::mayAdvanceMoves(Traffic::RelayRole role)
{
    if (role != Traffic::RelayRole::Follower)
        return true;
    // While the readers are cut off, many followers may read the store. A few of them suffice to advance the moves,
    // each of which takes further store calls.
    auto const count = static_cast<double>(std::max<size_t>(members().size(), 1));
    return randomUnit() < followersThatAdvanceMoves / count;
}

awaitable<void> StoreFollower::follow()
{
    if (m_isFirstStart && !isSeed())
        co_await pause(randomUpTo(firstQuerySpread));
    while (true) {
        auto const currentRole = role();
        auto const startedAt = Core::monotonicNow();
        bool isFresh = false;
        // After a restart another daemon knows newer reports of targets than a late write may have left in the store.
        bool const knowsNothing = !m_state.hasReadTargets && !m_isFirstStart;
        if (currentRole != Traffic::RelayRole::Reader || knowsNothing)
            isFresh = co_await pollOthers();
        auto const now = Core::monotonicNow();
        if (!isFresh && mayReadStore(currentRole, now)) {
            m_storeTriedAt = now;
            isFresh = co_await readStore();
            if (isFresh) {
                m_storeBackoff = {};
                if (mayAdvanceMoves(currentRole))
                    co_await m_moveController.advanceMoves();
                auto const used = Core::monotonicNow() - now;
                co_await pause(std::max<Core::Duration>(readInterval - used, pauseAfterFailure));
            } else {
                m_storeBackoff = minStoreBackoff;
                if (currentRole != Traffic::RelayRole::Follower)
                    m_moveController.judgeMoves();
                if (currentRole == Traffic::RelayRole::Follower)
                    m_storeBackoff += randomUpTo(maxBackoffOfFollower() - minStoreBackoff);
                // A reader that cannot reach the store may get the rows from the other reader.
                if (currentRole == Traffic::RelayRole::Reader)
                    isFresh = co_await pollOthers();
            }
        }
        auto const used = Core::monotonicNow() - startedAt;
        if (!isFresh)
            co_await pause(m_state.hasReadTargets || m_isFirstStart ? pauseAfterFailure : pauseWithoutRows);
        else if (used < minPollInterval)
            co_await pause(minPollInterval - used);
        co_await registerSelf();
    }
}

awaitable<bool> StoreFollower::pollOthers()
{
    // Polling may change the member list, so the loops below work on copies.
    auto const known = members();
    auto sources = m_sources;
    if (sources.empty()) {
        for (auto const& seed : m_seeds) {
            if (seed != m_self.endpoint)
                sources.push_back({ seed, seed });
        }
    }
    // After a round without fresh rows, polls only the first source and a random other daemon: the store may be serving
    // only daemons that are not among the sources, and polling all sources repeatedly from many daemons would overload
    // the readers.
    if (m_state.hasReadTargets && m_failedRounds > 0 && sources.size() > 2 && known.size() > 2) {
        auto const index = static_cast<size_t>(randomUpTo(Core::Duration(known.size() - 1)).count());
        sources = { sources.front(), known[index] };
        if (known[index].name == m_self.name)
            sources.pop_back();
    }
    m_lastPollResult = RelayResult::Failed;
    size_t unresponsive = 0;
    bool isFirst = true;
    bool hasRetried = false;
    for (auto const& source : sources) {
        bool const hasFailed = m_backoff.hasFailed(source.name);
        bool const isSkipped = hasFailed && (hasRetried || m_backoff.isBackingOff(source.name, Core::monotonicNow()));
        if (m_state.hasReadTargets && isSkipped)
            continue;
        hasRetried = hasRetried || hasFailed;
        auto const result = co_await pollOne(source, std::exchange(isFirst, false));
        if (result == RelayResult::Fresh) {
            noteFresh();
            co_return true;
        }
        if (result != RelayResult::Failed)
            m_lastPollResult = RelayResult::Stale;
        else if (++unresponsive >= maxUnresponsiveSources && m_state.hasReadTargets)
            break;
    }
    ++m_failedRounds;
    if (!m_staleSince)
        m_staleSince = Core::monotonicNow();
    co_return false;
}

void StoreFollower::noteFresh()
{
    // Requests that wait for a change also wait for rows to become fresh again.
    if (m_staleSince)
        m_relay.noteChange();
    m_staleSince.reset();
    m_failedRounds = 0;
}

RelayQuery StoreFollower::queryFor(std::string const& member, bool mayWait) const
{
    if (!m_state.hasReadTargets && m_isFirstStart)
        return queryAtFirstStart;
    if (!m_state.hasReadTargets) {
        // The store has all rows too. Once it was tried and did not return them, a slow seed is the only source left.
        auto query = queryAtStart;
        query.transferTime = m_storeBackoff.count() > 0 ? Core::Duration(maxTransferTime) : Core::Duration {};
        return query;
    }
    // If a source was just unresponsive, time was lost already, so the next one must respond at once.
    if (!mayWait || m_backoff.hasFailed(member))
        return immediateQuery;
    // Waits until the rows become stale at the latest, since other daemons have to be polled then.
    auto const freshFor = maxFreshAge - (Core::monotonicNow() - m_state.rowsReadAt);
    if (freshFor > Core::Duration {}) {
        auto const wait = std::clamp(freshFor, Core::Duration(minWait), longPollQuery.wait);
        return { .wait = wait, .timeout = wait + responseMargin, .transferTime = maxTransferTime };
    }
    // If the store does not respond either, waits for the source to get fresh rows.
    return m_storeBackoff.count() > 0 ? longPollQuery : immediateQuery;
}

awaitable<RelayResult> StoreFollower::pollOne(Traffic::RelayMember source, bool mayWait)
{
    auto const endpoint = parseEndpoint(source.endpoint);
    if (!endpoint)
        co_return RelayResult::Failed;
    auto const query = queryFor(source.name, mayWait);
    auto const startedAt = Core::suspendAwareNow();
    auto result = co_await m_relay.poll(source.name, *endpoint, query);
    if (result == RelayResult::Incomplete)
        result = co_await m_relay.poll(source.name, *endpoint, immediateQuery);
    if (mayAdoptRows(result, Core::monotonicNow()))
        adoptRows();
    if (result == RelayResult::Fresh)
        m_state.pauses.noteRefreshed(startedAt);
    if (result == RelayResult::Failed)
        m_backoff.noteFailed(source.name, {}, Core::monotonicNow());
    else
        m_backoff.noteAnswered(source.name);
    co_return result;
}

awaitable<bool> StoreFollower::readStore()
{
    auto const startedAt = Core::monotonicNow();
    auto const startedAtSinceBoot = Core::suspendAwareNow();
    bool const hasOperators = co_await m_reader.readTable(Platform::Table::operators);
    if (!hasOperators)
        co_return false;
    if (!m_state.hasReadTargets)
        co_await readHistory();
    bool const hasTargets = co_await m_reader.readTable(Platform::Table::targets);
    if (!hasTargets)
        co_return false;
    m_state.rowsReadAt = startedAt;
    noteFresh();
    // These tables suffice for serving requests; the others may follow.
    adoptRows();
    m_state.pauses.noteRefreshed(startedAtSinceBoot);
    if (startedAt - m_membersReadAt >= membersInterval || m_membersReadAt == Instant {}) {
        m_membersReadAt = startedAt;
        co_await m_reader.readTable(Platform::Table::members);
        co_await m_reader.readTable(Platform::Table::crashes);
        adoptRows();
        m_crashReporter.remove(m_adopter.expiredCrashKeys(Core::monotonicNow()));
        m_crashReporter.restore(m_adopter.takeLostCrashRows());
    }
    co_return true;
}

awaitable<void> StoreFollower::readHistory()
{
    co_await m_reader.readTable(Platform::Table::crashes);
    auto const& orders = m_state.sharedRows.table(Platform::Table::operators);
    auto const firstMove = orders.lower_bound(Platform::Key::movePrefix);
    if (firstMove == orders.end() || !firstMove->first.starts_with(Platform::Key::movePrefix))
        co_return;
    co_await m_reader.readTable(Platform::Table::results);
    co_await m_reader.readTable(Platform::Table::moveStarts);
}

awaitable<void> StoreFollower::registerSelf()
{
    auto const now = Core::monotonicNow();
    auto const& rows = m_state.sharedRows.table(Platform::Table::members);
    auto const found = rows.find(m_self.name);
    auto const text = Traffic::memberText(m_self);
    bool const isRegistered = found != rows.end() && storeRow(m_self.name, found->second).value == text;
    // After the store has come back from an older copy, all daemons find their rows missing at once.
    if (std::exchange(m_wasRegistered, isRegistered) && !isRegistered)
        m_registeredAt = now - randomUpTo(registrationInterval);
    bool const wasTried = m_registeredAt != Instant {} && now - m_registeredAt < registrationInterval;
    if (isRegistered || wasTried || !m_state.hasReadTargets)
        co_return;
    m_registeredAt = now;
    // Other daemons get the members from a seed, which saves calls to the store at a first start.
    bool const mustReadMembers = rows.empty() && (m_seeds.empty() || isSeed());
    Platform::StoreRow row { "", m_self.name, text, 0, std::string(Platform::Table::members) };
    co_await m_reader.write(std::move(row), false);
    // A daemon that knows no members uses the whole of a limit that a target names. If the store were lost before the
    // next read of this table, it would do so for the whole outage.
    if (mustReadMembers && co_await m_reader.readTable(Platform::Table::members))
        adoptRows();
}

}
