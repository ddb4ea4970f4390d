#include <LibSettings/FetchStep.h>
#include <algorithm>

namespace Comfreysail::Settings {

FetchStep nextFetch(FetchState const& state, Core::Instant now)
{
    auto const storeReadDue = state.storeReadStartedAt ? *state.storeReadStartedAt + storeReadInterval : now;
    if (storeReadDue <= now && !state.isStoreReadPending)
        return { FetchStep::Action::ReadStore, {}, now };

    auto nextCall = std::max(storeReadDue, now + storeReadInterval / 10);
    FetchState::PeerRevision const* best = nullptr;
    std::string const* bestName = nullptr;
    for (auto const& [name, peer] : state.peers) {
        if (peer.revision <= state.inForce)
            continue;
        if (peer.askedAt && now < *peer.askedAt + peerReplyTimeout) {
            // Only one request at a time, because the reply contains the whole settings text.
            return { FetchStep::Action::Wait, {}, std::min(nextCall, *peer.askedAt + peerReplyTimeout) };
        }
        // Peers that were not asked yet come first, by highest revision, then the one that was asked longest ago, so
        // that an unresponsive peer does not block the others.
        auto const isBetter = !best
            || (peer.askedAt && best->askedAt ? *peer.askedAt < *best->askedAt : !peer.askedAt && best->askedAt)
            || (!peer.askedAt && !best->askedAt && peer.revision > best->revision);
        if (isBetter) {
            best = &peer;
            bestName = &name;
        }
    }
    if (best)
        return { FetchStep::Action::AskPeer, *bestName, now };
    return { FetchStep::Action::Wait, {}, nextCall };
}

}
