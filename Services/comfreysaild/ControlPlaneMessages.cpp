// Handles the messages that the control plane receives from peers.

#include "ControlPlaneImplementation.h"
#include <glog/logging.h>

namespace Comfreysail::Daemon {

void ControlPlane::Implementation::receive(Wire::Message const& message)
{
    if (message.sender == m_options.name)
        return;
    std::visit([&](auto const& body) { receive(message, body); }, message.body);
}

void ControlPlane::Implementation::receive(Wire::Message const& message, Membership::Heartbeat const& heartbeat)
{
    send(m_table.merge(heartbeat, Core::monotonicNow()));
    if (heartbeat.settingsRevision <= m_fetch.inForce)
        return;
    m_fetch.notePeerRevision(message.sender, heartbeat.settingsRevision);
    fetchSettings();
}

void ControlPlane::Implementation::receive(Wire::Message const& message, Wire::SettingsRequest const& request)
{
    auto const endpoint = endpointOf(message.sender);
    if (!endpoint || !m_settings || m_settings->revision.revision <= request.knownRevision)
        return;
    auto const& [revision, tree, toml] = *m_settings;
    send(*endpoint, Wire::SettingsReply { revision.revision, revision.changeId, revision.hash, toml });
    // A daemon without any settings may be unable to reach the store, and then needs the moves, too.
    if (request.knownRevision == 0)
        send(*endpoint, m_moves.rows());
}

void ControlPlane::Implementation::receive(Wire::Message const& message, Wire::SettingsReply const& reply)
{
    auto snapshot = Settings::makeSnapshot({ reply.revision, reply.changeId, reply.hash }, reply.toml);
    if (Core::isError(snapshot)) {
        m_fetch.forgetPeer(message.sender);
        LOG(ERROR) << "event=settings_of_peer_invalid peer=" << message.sender << " detail=\""
                   << Core::errorOf(snapshot).detail << '"';
        return;
    }
    adopt(Core::takeValue(std::move(snapshot)));
}

void ControlPlane::Implementation::receive(Wire::Message const& message, Wire::LoadReport const& report)
{
    if (m_events.onLoad)
        m_events.onLoad({ report.service, report.availabilityZone, report.shard, message.sender, report.inFlight,
            report.queued, report.slots });
}

void ControlPlane::Implementation::receive(Wire::Message const&, Wire::CrashReport const& report)
{
    if (m_events.onCrash)
        m_events.onCrash({ report.fingerprint, report.target });
}

void ControlPlane::Implementation::receive(Wire::Message const&, Moves::EvidenceDelta const& delta)
{
    std::scoped_lock const lock(m_evidenceMutex);
    m_evidence.merge(delta, Core::wallNow());
}

void ControlPlane::Implementation::receive(Wire::Message const&, Wire::MoveVerdict const& verdict)
{
    std::unique_lock lock(m_evidenceMutex);
    auto const isNew = m_evidence.noteBad(verdict.move, verdict.reason);
    lock.unlock();
    if (!isNew)
        return;
    publish();
    sendToOverlay(verdict);
}

void ControlPlane::Implementation::receive(Wire::Message const& message, Wire::DrainNotice const& notice)
{
    m_table.noteState(message.sender, message.incarnation,
        notice.isLeaving ? Membership::MemberState::Left : Membership::MemberState::Draining, Core::monotonicNow());
}

void ControlPlane::Implementation::receive(Wire::Message const&, Wire::MoveRows const& rows)
{
    for (auto const& [move, rowVersion, json] : rows.rows) {
        auto const row = Store::MoveRow::fromRow({ move, rowVersion, json });
        if (!Core::isError(row))
            m_moves.merge(Core::valueOf(row), Core::wallNow());
    }
    noteMovesChanged();
}

}
