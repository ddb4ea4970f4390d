#include "ControlPlane.h"
#include "ControlPlaneImplementation.h"
#include <boost/json.hpp>
#include <sstream>

namespace Comfreysail::Daemon {

namespace {

// If the view is older than this, the process was paused and has not run its next tick yet.
constexpr Core::Duration maxViewAge = std::chrono::seconds(1);

}

ControlPlane::ControlPlane(
    boost::asio::io_context& context, ControlPlaneOptions options, Store::StorePort const& store, PeerEvents events)
    : m_implementation(std::make_shared<Implementation>(context, std::move(options), store, std::move(events)))
{
}

ControlPlane::~ControlPlane() { m_implementation->stop(); }

Core::Result<Core::Empty> ControlPlane::start() { return m_implementation->start(); }

void ControlPlane::beginDrain() { m_implementation->setState(Membership::MemberState::Draining); }

void ControlPlane::leave() { m_implementation->setState(Membership::MemberState::Left); }

void ControlPlane::stop() { m_implementation->stop(); }

ControlPlane::SettingsPointer ControlPlane::settings() const { return m_implementation->view()->settings; }

std::shared_ptr<std::vector<PeerMember> const> ControlPlane::liveMembers() const
{
    return m_implementation->view()->members;
}

uint64_t ControlPlane::generation() const { return m_implementation->view()->generation; }

std::optional<Core::ErrorKind> ControlPlane::refusal() const
{
    auto const view = m_implementation->view();
    if (!view->refusal && Core::monotonicNow() - view->publishedAt > maxViewAge)
        return Core::ErrorKind::Isolated;
    return view->refusal;
}

VersionChoice ControlPlane::versionFor(
    std::string_view service, std::string_view department, std::string_view, double uniform) const
{
    return Daemon::versionFor(*m_implementation->view(), service, department, uniform);
}

std::string ControlPlane::zoneFor(std::string_view service, std::string_view zone, double uniform) const
{
    return destinationOf(*m_implementation->view(), Moves::MoveKind::AvailabilityZone, service, zone, uniform);
}

std::string ControlPlane::departmentFor(std::string_view service, std::string_view department, double uniform) const
{
    return destinationOf(*m_implementation->view(), Moves::MoveKind::Department, service, department, uniform);
}

std::shared_ptr<std::set<std::string, std::less<>> const> ControlPlane::zonesOut() const
{
    return m_implementation->view()->zonesOut;
}

std::shared_ptr<std::set<std::string, std::less<>> const> ControlPlane::departmentsOut() const
{
    return m_implementation->view()->departmentsOut;
}

void ControlPlane::reportEvidence(Moves::Observation const& observation)
{
    m_implementation->reportEvidence(observation);
}

void ControlPlane::reportCrash(CrashNotice const& notice) { m_implementation->reportCrash(notice); }

void ControlPlane::reportLoad(LoadNotice const& notice, std::vector<std::string> const& recipients)
{
    m_implementation->reportLoad(notice, recipients);
}

HTTP::awaitable<Core::Result<uint64_t>> ControlPlane::pushSettings(
    uint64_t revision, std::string changeId, std::string hash, std::string toml)
{
    return m_implementation->pushSettings({ revision, std::move(changeId), std::move(hash) }, std::move(toml));
}

std::string ControlPlane::metricsText() const
{
    auto const counters = m_implementation->counters();
    auto const view = m_implementation->view();
    std::ostringstream text;
    text << "comfreysail_peer_messages_sent_total " << counters.sentMessages << '\n'
         << "comfreysail_peer_bytes_sent_total " << counters.sentBytes << '\n'
         << "comfreysail_peer_messages_received_total " << counters.receivedMessages << '\n'
         << "comfreysail_peer_bytes_received_total " << counters.receivedBytes << '\n'
         << "comfreysail_peer_messages_dropped_total " << counters.droppedMessages << '\n'
         << "comfreysail_peer_messages_malformed_total " << counters.malformedMessages << '\n'
         << "comfreysail_peer_connections " << counters.connections << '\n'
         << "comfreysail_store_errors_total " << m_implementation->storeErrors() << '\n'
         << "comfreysail_live_members " << view->members->size() << '\n'
         << "comfreysail_settings_revision " << (view->settings ? view->settings->revision.revision : 0) << '\n';
    return text.str();
}

std::string ControlPlane::statusJson() const
{
    auto const view = m_implementation->view();
    boost::json::array members;
    for (auto const& member : *view->members)
        members.push_back({ { "name", member.name }, { "availability_zone", member.availabilityZone } });
    boost::json::array moves;
    for (auto const& [move, share, targetCount] : view->moves)
        moves.push_back({ { "id", move.id }, { "to", move.to }, { "share", share } });
    auto const reason = refusal();
    return boost::json::serialize(boost::json::object {
        { "revision", view->settings ? view->settings->revision.revision : 0 },
        { "refusal", reason ? std::string(Core::errorName(*reason)) : std::string() },
        { "members", std::move(members) },
        { "moves", std::move(moves) },
    });
}

}
