#include "ControlPlaneImplementation.h"
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>
#include <random>

namespace Comfreysail::Daemon {

using Core::Instant;
using Membership::MemberState;
using Membership::WorkPermit;
using namespace std::chrono_literals;

namespace {

constexpr auto tickInterval = 100ms;
// A store call that takes longer than the interval between reads is treated as lost.
constexpr auto storeCallTimeout = 900ms;
constexpr auto vmPollInterval = 5s;
constexpr auto judgementInterval = 200ms;
constexpr auto evidenceFlushInterval = 300ms;
constexpr auto evidenceResendInterval = 5s;
constexpr double evidenceBytesPerSecond = 10 * 1024;
constexpr double bytesPerEvidenceEntry = 30;
constexpr auto resultWriteInterval = 2s;
// Delay for each daemon before this one in name order, so that usually only one daemon writes the result of a move.
constexpr auto resultWriteStagger = 20ms;
constexpr auto minLoadReportInterval = 100ms;

Membership::Member makeMember(ControlPlaneOptions const& options, uint64_t incarnation)
{
    return { options.name, incarnation, options.availabilityZone, options.address, options.peerHttpPort,
        options.peerMessagePort, MemberState::Serving };
}

std::string endpointOf(Membership::Member const& member)
{
    return member.address + ":" + std::to_string(member.peerMessagePort);
}

}

ControlPlane::Implementation::Implementation(
    boost::asio::io_context& context, ControlPlaneOptions options, Store::StorePort const& store, PeerEvents events)
    : m_context(context)
    , m_strand(boost::asio::make_strand(context))
    , m_timer(m_strand)
    , m_options(std::move(options))
    , m_store(store)
    , m_events(std::move(events))
    , m_incarnation(Membership::makeIncarnation(Core::toUnixMilliseconds(Core::wallNow()), std::random_device {}()))
    , m_table(makeMember(m_options, m_incarnation), { .seeds = m_options.seeds }, Core::monotonicNow())
    , m_evidence(m_options.name, m_incarnation)
    , m_view(std::make_shared<ControlView const>())
    , m_transport({ .address = m_options.address,
                      .port = m_options.peerMessagePort,
                      .bytesPerSecond = m_options.peerBytesPerSecond },
          [this](Wire::Message message) { post([this, message = std::move(message)] { receive(message); }); })
{
}

Core::Result<Core::Empty> ControlPlane::Implementation::start()
{
    auto result = m_transport.start();
    if (!Core::isError(result))
        post([this] { tick(); });
    return result;
}

void ControlPlane::Implementation::stop()
{
    if (m_isStopped.exchange(true))
        return;
    // From now on the strand only cancels the timer. setState() has already told the peers that this daemon leaves.
    m_transport.stop();
    boost::asio::post(m_strand, [self = shared_from_this()] { self->m_timer.cancel(); });
}

void ControlPlane::Implementation::setState(MemberState state)
{
    post([this, state] {
        m_table.setState(state);
        send(m_table.tick(Core::monotonicNow()));
        sendToAll(Wire::DrainNotice { state == MemberState::Left });
        publish();
    });
}

void ControlPlane::Implementation::scheduleTick()
{
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([self = shared_from_this()](boost::system::error_code const& error) {
        if (!error && !self->m_isStopped)
            self->tick();
    });
}

void ControlPlane::Implementation::tick()
{
    auto const now = Core::monotonicNow();
    auto const isDue = [now](Instant& next, Core::Duration interval) {
        if (now < next)
            return false;
        next = now + interval;
        return true;
    };
    send(m_table.tick(now));
    fetchSettings();
    if (isDue(m_nextVmPoll, vmPollInterval))
        pollVms();
    if (now >= m_nextMovePoll && !m_isMovePollPending)
        pollMoves();
    if (isDue(m_nextJudgement, judgementInterval))
        judgeMoves();
    if (isDue(m_nextEvidenceFlush, evidenceFlushInterval))
        flushEvidence();
    writeResults();
    publish();
    scheduleTick();
}

void ControlPlane::Implementation::publish()
{
    auto const now = Core::monotonicNow();
    auto const wallTime = Core::wallNow();
    auto const previous = m_view.load();
    auto view = std::make_shared<ControlView>();
    view->settings = m_settings;
    view->publishedAt = now;

    auto members = std::make_shared<std::vector<PeerMember>>();
    for (auto const& member : m_table.live(now))
        members->push_back({ member.name, member.incarnation, member.availabilityZone, member.address,
            member.peerHttpPort, member.name == m_options.name });
    {
        std::scoped_lock const lock(m_evidenceMutex);
        for (auto const& move : m_moves.moves()) {
            if (move.state == Moves::MoveState::TakenBack || m_evidence.badReason(move.id))
                continue;
            auto const scope = scopeOf(move);
            view->moves.push_back({ move, Moves::shareAt(move, m_evidence, scope, wallTime), scope.targetCount });
        }
    }
    auto const permit = m_table.workPermit(now);
    if (m_table.self().state != MemberState::Serving)
        view->refusal = Core::ErrorKind::ShuttingDown;
    else if (!m_settings)
        view->refusal = Core::ErrorKind::SettingsUnavailable;
    else if (permit != WorkPermit::Allowed)
        view->refusal = Core::ErrorKind::Isolated;
    else
        view->refusal.reset();

    // Reuse equal parts of the previous view, so that changes can be detected by comparing pointers.
    auto const reuseIfEqual = [](auto const& old, auto value) {
        using Value = std::remove_cvref_t<decltype(value)>;
        return *old == value ? old : std::make_shared<Value const>(std::move(value));
    };
    view->members = reuseIfEqual(previous->members, std::move(*members));
    view->zonesOut
        = reuseIfEqual(previous->zonesOut, zonesOutOf(m_settings ? m_settings->tree.get() : nullptr, view->moves));
    view->departmentsOut = reuseIfEqual(previous->departmentsOut, departmentsOutOf(view->moves));
    auto const isChanged = view->settings != previous->settings || view->members != previous->members
        || view->zonesOut != previous->zonesOut || view->departmentsOut != previous->departmentsOut;
    view->generation = previous->generation + (isChanged ? 1 : 0);
    m_view.store(std::move(view));
}

void ControlPlane::Implementation::reportEvidence(Moves::Observation const& observation)
{
    if (!m_view.load()->isWatched(observation.service))
        return;
    std::scoped_lock const lock(m_evidenceMutex);
    m_evidence.record(observation, Core::wallNow());
}

void ControlPlane::Implementation::reportCrash(CrashNotice const& notice)
{
    post([this, notice] { sendToAll(Wire::CrashReport { notice.fingerprint, notice.target }); });
}

void ControlPlane::Implementation::reportLoad(LoadNotice const& notice, std::vector<std::string> const& recipients)
{
    post([this, notice, recipients] {
        Wire::LoadReport const report { notice.service, notice.availabilityZone, notice.shard, notice.inFlight,
            notice.queued, notice.slots };
        auto const now = Core::monotonicNow();
        if (!recipients.empty()) {
            for (auto const& name : recipients) {
                if (auto const endpoint = endpointOf(name))
                    send(*endpoint, report);
            }
            return;
        }
        auto& sentAt
            = m_loadSentAt[notice.service + "/" + notice.availabilityZone + "/" + std::to_string(notice.shard)];
        if (now - sentAt < minLoadReportInterval)
            return;
        sentAt = now;
        for (auto const& member : m_table.reachable(now)) {
            if (member.availabilityZone != m_options.availabilityZone)
                send(Daemon::endpointOf(member), report);
        }
    });
}

HTTP::awaitable<Core::Result<uint64_t>> ControlPlane::Implementation::pushSettings(
    Settings::SettingsRevision revision, std::string toml)
{
    auto const self = shared_from_this();
    auto snapshot = Settings::makeSnapshot(std::move(revision), std::move(toml));
    if (Core::isError(snapshot))
        co_return Core::errorOf(snapshot);
    auto const offered = Core::valueOf(snapshot).revision;
    // The comparison and the adoption run on the strand in one step, so the answer describes the settings in force.
    auto adoptOnStrand
        = [self, snapshot = Core::takeValue(std::move(snapshot))]() mutable -> HTTP::awaitable<Settings::Adoption> {
        auto const& current = self->m_settings;
        auto const adoption
            = Settings::adoptionOf(current ? current->revision : Settings::SettingsRevision {}, snapshot.revision);
        if (adoption == Settings::Adoption::Adopt)
            self->adopt(std::move(snapshot));
        co_return adoption;
    };
    auto const adoption
        = co_await boost::asio::co_spawn(m_strand, std::move(adoptOnStrand), boost::asio::use_awaitable);
    if (adoption == Settings::Adoption::Older || adoption == Settings::Adoption::Contradiction) {
        auto const settings = view()->settings;
        co_return Core::Error { Core::ErrorKind::RevisionConflict,
            "revision " + std::to_string(settings ? settings->revision.revision : 0) + " is in force" };
    }
    co_return offered.revision;
}

void ControlPlane::Implementation::send(std::string const& endpoint, Wire::Body body)
{
    m_transport.send(endpoint, { m_options.name, m_table.self().incarnation, ++m_sequence, std::move(body) });
}

void ControlPlane::Implementation::send(Heartbeats const& heartbeats)
{
    for (auto const& [endpoint, heartbeat] : heartbeats)
        send(endpoint, heartbeat);
}

void ControlPlane::Implementation::sendToOverlay(Wire::Body const& body)
{
    for (auto const& member : m_table.overlay(Core::monotonicNow()))
        send(Daemon::endpointOf(member), body);
}

void ControlPlane::Implementation::sendToAll(Wire::Body const& body)
{
    for (auto const& member : m_table.reachable(Core::monotonicNow()))
        send(Daemon::endpointOf(member), body);
}

std::optional<std::string> ControlPlane::Implementation::endpointOf(std::string_view name) const
{
    for (auto const& member : m_table.reachable(Core::monotonicNow())) {
        if (member.name == name)
            return Daemon::endpointOf(member);
    }
    return {};
}

Moves::MoveScope ControlPlane::Implementation::scopeOf(Moves::Move const& move) const
{
    auto const* service = m_settings ? m_settings->tree->service(move.service) : nullptr;
    if (!service || !move.isJudged())
        return {};
    Moves::MoveScope scope;
    auto const version = service->versions.find(move.to);
    if (version != service->versions.end())
        scope.targetCount = static_cast<unsigned>(version->second.targets.size());
    for (auto const& [name, route] : service->routes)
        scope.routes.push_back(name);
    return scope;
}

void ControlPlane::Implementation::flushEvidence()
{
    auto const now = Core::monotonicNow();
    auto const peers = std::max<size_t>(1, m_table.overlay(now).size());
    auto const seconds = std::chrono::duration<double>(evidenceFlushInterval).count();
    auto const entries = evidenceBytesPerSecond * seconds / (bytesPerEvidenceEntry * static_cast<double>(peers));
    Moves::EvidenceDelta delta;
    {
        std::scoped_lock const lock(m_evidenceMutex);
        if (now >= m_nextEvidenceResend)
            m_evidence.markAllChanged();
        delta = m_evidence.takeDelta(static_cast<size_t>(std::max(1.0, entries)), Core::wallNow());
    }
    if (!delta.entries.empty())
        sendToOverlay(delta);
    if (now < m_nextEvidenceResend)
        return;
    m_nextEvidenceResend = now + evidenceResendInterval;
    for (auto const& move : m_moves.moves()) {
        std::unique_lock lock(m_evidenceMutex);
        auto const reason = m_evidence.badReason(move.id);
        lock.unlock();
        if (reason && !move.isFinal())
            sendToOverlay(Wire::MoveVerdict { move.id, *reason });
    }
}

void ControlPlane::Implementation::judgeMoves()
{
    auto const wallTime = Core::wallNow();
    for (auto const& move : m_moves.moves()) {
        if (move.isFinal() || !move.isJudged())
            continue;
        std::unique_lock lock(m_evidenceMutex);
        auto const verdict = Moves::judge(move, m_evidence, scopeOf(move), wallTime);
        auto const isNew = verdict.kind == Moves::VerdictKind::Bad && m_evidence.noteBad(move.id, verdict.reason);
        lock.unlock();
        if (!isNew)
            continue;
        LOG(WARNING) << "event=move_taken_back move=" << move.id << " " << verdict.reason;
        sendToOverlay(Wire::MoveVerdict { move.id, verdict.reason });
    }
}

void ControlPlane::Implementation::writeResults()
{
    auto const now = Core::monotonicNow();
    for (auto const& move : m_moves.moves()) {
        std::unique_lock lock(m_evidenceMutex);
        auto const row = Moves::nextRow(move, m_evidence, Core::wallNow());
        lock.unlock();
        if (!row) {
            m_nextResultWrites.erase(move.id);
            continue;
        }
        auto const live = m_table.live(now);
        auto const rank
            = std::count_if(live.begin(), live.end(), [&](auto const& member) { return member.name < m_options.name; });
        auto const next = m_nextResultWrites.try_emplace(move.id, now + rank * resultWriteStagger).first;
        if (now < next->second)
            continue;
        next->second = now + resultWriteInterval;
        auto const state = static_cast<Store::MoveState>(row->state);
        Store::MoveChange change { move.id, state, row->reason,
            move.id + "-" + std::string(Store::moveStateName(state)) };
        Store::changeMove(m_store, std::move(change), now + storeCallTimeout,
            onStrand<Store::MoveResult>([this](Core::Result<Store::MoveResult> const& result) {
                if (Core::isError(result)) {
                    ++m_storeErrors;
                    return;
                }
                m_moves.merge(Core::valueOf(result).row, Core::wallNow());
                noteMovesChanged();
            }));
    }
}

}
