#include <LibHTTP/WaitingConnections.h>

namespace Comfreysail::HTTP {

namespace {

// A head usually arrives in one packet. One that takes longer is late, but is served while there is room.
constexpr auto maxPromptHeadTime = std::chrono::milliseconds(500);
// A client that sends a body or reads a response makes progress meanwhile also on a slow link.
constexpr auto maxPromptTransferTime = std::chrono::seconds(2);
// An address that has used up its share has most of the connections, so a few steps find one of them.
constexpr size_t maxSearchSteps = 64;

}

void WaitingConnections::note(uint64_t id, std::string const& address, ClientWait wait, Core::Instant now)
{
    auto const found = m_places.find(id);
    if (found != m_places.end() && found->second.wait == wait)
        return;
    if (found != m_places.end() && wait != ClientWait::Nothing) {
        auto& entries = entriesOf(wait);
        entries.splice(entries.end(), entriesOf(found->second.wait), found->second.entry);
        found->second.entry->since = now;
        found->second.wait = wait;
        return;
    }
    if (wait == ClientWait::Nothing) {
        remove(id);
        return;
    }
    auto& entries = entriesOf(wait);
    m_places[id] = { wait, entries.insert(entries.end(), { id, address, now }) };
}

void WaitingConnections::remove(uint64_t id)
{
    auto const found = m_places.find(id);
    if (found == m_places.end())
        return;
    entriesOf(found->second.wait).erase(found->second.entry);
    m_places.erase(found);
}

std::optional<WaitingConnection> WaitingConnections::takeFrom(
    ClientWait wait, Core::Instant latestStart, std::optional<std::string> const& address)
{
    auto& entries = entriesOf(wait);
    size_t steps = 0;
    for (auto entry = entries.begin(); entry != entries.end() && steps < maxSearchSteps; ++entry, ++steps) {
        if (entry->since > latestStart)
            return std::nullopt;
        if (address && entry->address != *address)
            continue;
        WaitingConnection const result { entry->id, wait };
        remove(result.id);
        return result;
    }
    return std::nullopt;
}

std::optional<WaitingConnection> WaitingConnections::take(Core::Instant now, std::optional<std::string> const& address)
{
    struct Step {
        ClientWait wait;
        Core::Duration minAge;
    };
    static constexpr std::array<Step, 6> steps { {
        { ClientWait::Close, Core::Duration(0) },
        { ClientWait::Head, maxPromptHeadTime },
        { ClientWait::Idle, Core::Duration(0) },
        { ClientWait::Body, maxPromptTransferTime },
        { ClientWait::Response, maxPromptTransferTime },
        { ClientWait::Head, Core::Duration(0) },
    } };
    for (auto const& step : steps) {
        if (auto const taken = takeFrom(step.wait, now - step.minAge, address))
            return taken;
    }
    return std::nullopt;
}

std::optional<WaitingConnection> WaitingConnections::takeUnreadResponse(Core::Instant now)
{
    return takeFrom(ClientWait::Response, now - maxPromptTransferTime, std::nullopt);
}

}
