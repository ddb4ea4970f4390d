// Reads settings, moves and VMs from the store for the control plane.

#include "ControlPlaneImplementation.h"
#include <algorithm>
#include <glog/logging.h>

namespace Comfreysail::Daemon {

using Core::Instant;
using namespace std::chrono_literals;

namespace {

// A store call that takes longer than the interval between reads is treated as lost.
constexpr auto storeCallTimeout = 900ms;
constexpr auto minMovePollInterval = 1s;
constexpr auto maxMovePollInterval = 30s;
// Rows of finished moves accumulate, so the poll interval grows with them to keep the reads at this rate.
constexpr double movePollBytesPerSecond = 4096;
constexpr double bytesPerMoveRow = 300;

}

void ControlPlane::Implementation::fetchSettings()
{
    // Asking a peer changes the fetch state, so the next step is determined again. Each peer is asked only at
    // intervals, so the loop ends.
    while (true) {
        auto const now = Core::monotonicNow();
        auto const step = Settings::nextFetch(m_fetch, now);
        if (step.action == Settings::FetchStep::Action::Wait)
            return;
        if (step.action == Settings::FetchStep::Action::ReadStore) {
            m_fetch.noteStoreReadStarted(now);
            readStore();
            continue;
        }
        auto const endpoint = endpointOf(step.peer);
        if (!endpoint) {
            m_fetch.forgetPeer(step.peer);
            continue;
        }
        m_fetch.notePeerAsked(step.peer, now);
        send(*endpoint, Wire::SettingsRequest { m_fetch.inForce });
    }
}

void ControlPlane::Implementation::readStore()
{
    auto const startedAt = Core::monotonicNow();
    Store::readSettingsHead(m_store, startedAt + storeCallTimeout,
        onStrand<std::optional<Store::SettingsHead>>([this, startedAt](auto result) {
            if (Core::isError(result)) {
                ++m_storeErrors;
                m_fetch.noteStoreReadEnded();
                return;
            }
            noteStoreAnswered(startedAt);
            auto head = Core::takeValue(std::move(result));
            if (!head || head->revision.revision <= m_fetch.inForce) {
                m_fetch.noteStoreReadEnded();
                return;
            }
            Store::readSettingsSnapshot(m_store, std::move(*head), Core::monotonicNow() + storeCallTimeout,
                onStrand<Settings::SettingsSnapshot>([this](auto snapshot) {
                    m_fetch.noteStoreReadEnded();
                    if (Core::isError(snapshot)) {
                        ++m_storeErrors;
                        LOG(ERROR) << "event=settings_unreadable detail=\"" << Core::errorOf(snapshot).detail << '"';
                        return;
                    }
                    adopt(Core::takeValue(std::move(snapshot)));
                }));
        }));
}

void ControlPlane::Implementation::adopt(Settings::SettingsSnapshot snapshot)
{
    auto const currentRevision = m_settings ? m_settings->revision : Settings::SettingsRevision {};
    auto const adoption = Settings::adoptionOf(currentRevision, snapshot.revision);
    if (adoption == Settings::Adoption::Contradiction)
        LOG(ERROR) << "event=settings_contradiction revision=" << snapshot.revision.revision
                   << " in_force=" << currentRevision.changeId << " offered=" << snapshot.revision.changeId;
    if (adoption != Settings::Adoption::Adopt)
        return;
    LOG(INFO) << "event=settings_adopted revision=" << snapshot.revision.revision
              << " change=" << snapshot.revision.changeId;
    m_fetch.noteAdopted(snapshot.revision.revision);
    m_table.setSettingsRevision(snapshot.revision.revision);
    m_settings = std::make_shared<Settings::SettingsSnapshot const>(std::move(snapshot));
    publish();
    send(m_table.tick(Core::monotonicNow()));
    if (m_events.onSettings)
        m_events.onSettings();
}

void ControlPlane::Implementation::pollMoves()
{
    auto const startedAt = Core::monotonicNow();
    m_isMovePollPending = true;
    Store::readMoves(m_store, startedAt + storeCallTimeout,
        onStrand<Store::MoveList>([this, startedAt](Core::Result<Store::MoveList> const& result) {
            m_isMovePollPending = false;
            m_nextMovePoll = startedAt + minMovePollInterval;
            if (Core::isError(result)) {
                ++m_storeErrors;
                return;
            }
            noteStoreAnswered(startedAt);
            auto const& list = Core::valueOf(result);
            auto const interval = std::chrono::duration<double>(
                static_cast<double>(list.moves.size()) * bytesPerMoveRow / movePollBytesPerSecond);
            m_nextMovePoll = startedAt
                + std::clamp<Core::Duration>(
                    std::chrono::duration_cast<Core::Duration>(interval), minMovePollInterval, maxMovePollInterval);
            m_moves.replaceAll(list.moves, Core::wallNow());
            noteMovesChanged();
        }));
}

void ControlPlane::Implementation::pollVms()
{
    auto const startedAt = Core::monotonicNow();
    m_store.listVms(startedAt + storeCallTimeout,
        onStrand<std::vector<Store::Vm>>([this, startedAt](Core::Result<std::vector<Store::Vm>> const& result) {
            if (Core::isError(result)) {
                ++m_storeErrors;
                return;
            }
            noteStoreAnswered(startedAt);
            std::vector<Membership::PlatformVm> vms;
            for (auto const& vm : Core::valueOf(result))
                vms.push_back({ vm.name, vm.address, vm.state == Store::Vm::State::Leaving });
            m_table.noteVmList(vms, Core::monotonicNow());
        }));
}

void ControlPlane::Implementation::noteStoreAnswered(Instant startedAt)
{
    m_table.noteStoreAnswered(startedAt, Core::monotonicNow());
}

void ControlPlane::Implementation::noteMovesChanged()
{
    auto const moves = m_moves.moves();
    {
        std::scoped_lock const lock(m_evidenceMutex);
        m_evidence.watch(moves);
        for (auto const& move : moves) {
            if (move.state == Moves::MoveState::TakenBack)
                m_evidence.noteBad(move.id, move.reason);
        }
    }
    publish();
}

}
