#include <LibSettings/FetchState.h>

namespace Comfreysail::Settings {

void FetchState::noteStoreReadStarted(Core::Instant now)
{
    storeReadStartedAt = now;
    isStoreReadPending = true;
}

void FetchState::noteStoreReadEnded() { isStoreReadPending = false; }

void FetchState::notePeerRevision(std::string_view peer, uint64_t revision)
{
    if (revision <= inForce)
        return;
    auto& entry = peers[std::string(peer)];
    if (revision > entry.revision)
        entry = { revision, {} };
}

void FetchState::notePeerAsked(std::string_view peer, Core::Instant now)
{
    if (auto found = peers.find(peer); found != peers.end())
        found->second.askedAt = now;
}

void FetchState::forgetPeer(std::string_view peer)
{
    if (auto found = peers.find(peer); found != peers.end())
        peers.erase(found);
}

void FetchState::noteAdopted(uint64_t revision)
{
    if (revision > inForce)
        inForce = revision;
    std::erase_if(peers, [&](auto const& entry) { return entry.second.revision <= inForce; });
}

}
