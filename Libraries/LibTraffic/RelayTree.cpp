#include <LibTraffic/RelayTree.h>

#include <LibCore/Hash.h>
#include <algorithm>
#include <sstream>

namespace Comfreysail::Traffic {

namespace {

constexpr unsigned maxDoublings = 6;

void sortMembers(std::vector<RelayMember>& members)
{
    std::ranges::sort(members, [](RelayMember const& left, RelayMember const& right) {
        if (left.processorShare != right.processorShare)
            return left.processorShare > right.processorShare;
        auto const leftHash = Core::hashBytes(left.name);
        auto const rightHash = Core::hashBytes(right.name);
        return leftHash != rightHash ? leftHash < rightHash : left.name < right.name;
    });
}

}

std::string memberText(RelayMember const& member)
{
    std::ostringstream text;
    text << member.endpoint << ' ' << member.processorShare;
    return text.str();
}

RelayMember parseMember(std::string name, std::string const& text)
{
    RelayMember member { std::move(name), {}, 0 };
    std::istringstream stream(text);
    stream >> member.endpoint >> member.processorShare;
    return member;
}

std::vector<RelayMember> relaySources(
    std::string_view self, std::vector<RelayMember> members, RelayOptions const& options)
{
    sortMembers(members);
    auto const found = std::ranges::find(members, self, &RelayMember::name);
    auto const position = static_cast<size_t>(found - members.begin());
    std::vector<RelayMember> sources;
    if (found == members.end())
        return sources;
    auto const add = [&](size_t index) {
        bool const isNew = index < members.size() && members[index].name != self
            && std::ranges::find(sources, members[index]) == sources.end();
        if (isNew)
            sources.push_back(members[index]);
    };
    auto const parentOf = [&](size_t index) { return (index - options.readers) / options.fanOut; };
    if (position >= options.readers) {
        auto const parent = parentOf(position);
        // The parent's level starts at index `first` and has `size` places. Places beyond the number of members are
        // unused.
        size_t first = 0;
        size_t size = options.readers;
        while (parent >= first + size) {
            first += size;
            size *= options.fanOut;
        }
        auto const present = std::min(size, members.size() - first);
        add(parent);
        // The followers of one parent turn to different alternatives.
        for (size_t alternative = 0; alternative < options.alternativeParents; ++alternative) {
            auto const step
                = 1 + (position - options.readers) % options.fanOut + alternative * (options.fanOut / 2 + 1);
            add(first + (parent - first + step) % present);
        }
    }
    // The readers come next. Daemons start with different readers to spread the load.
    for (size_t reader = 0; reader < options.readers; ++reader)
        add((position + reader) % options.readers);
    for (size_t standby = 0; standby < options.standbyReaders; ++standby)
        add(options.readers + (position + standby) % options.standbyReaders);
    return sources;
}

std::vector<RelayMember> rankedMembers(std::vector<RelayMember> members)
{
    sortMembers(members);
    return members;
}

RelayRole relayRole(std::string_view self, std::vector<RelayMember> members, RelayOptions const& options)
{
    sortMembers(members);
    auto const found = std::ranges::find(members, self, &RelayMember::name);
    if (found == members.end())
        return RelayRole::Follower;
    auto const position = static_cast<size_t>(found - members.begin());
    if (position < options.readers)
        return RelayRole::Reader;
    return position < options.readers + options.standbyReaders ? RelayRole::StandbyReader : RelayRole::Follower;
}

void RelayBackoff::noteFailed(std::string const& member, RelayOptions const& options, Core::Instant now)
{
    auto& entry = m_entries[member];
    auto const doublings = std::min(entry.failures, maxDoublings);
    ++entry.failures;
    entry.until = now + std::min(options.initialBackoff * (1U << doublings), options.maxBackoff);
}

void RelayBackoff::noteAnswered(std::string const& member) { m_entries.erase(member); }

bool RelayBackoff::isBackingOff(std::string const& member, Core::Instant now) const
{
    auto const found = m_entries.find(member);
    return found != m_entries.end() && now < found->second.until;
}

}
