#pragma once

#include <LibCore/Time.h>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Comfreysail::Traffic {

struct RelayOptions {
    /// Number of daemons that read the store for all others. With two, the loss of one causes no long delay.
    size_t readers { 2 };
    /// Number of daemons (standby readers) that read the store as soon as the readers have no fresh rows, and relay
    /// them to the others. Without standby readers, all daemons would read the store at the same time.
    size_t standbyReaders { 2 };
    /// Number of daemons that ask the same source.
    size_t fanOut { 8 };
    /// Number of daemons on the level of its parent that a daemon asks when the parent does not answer. With one, the
    /// readers had to answer a ninth of all daemons when a third was unreachable.
    size_t alternativeParents { 3 };
    /// How long a daemon that did not answer is not asked. The time doubles with each failure.
    Core::Duration initialBackoff { std::chrono::seconds(1) };
    Core::Duration maxBackoff { std::chrono::seconds(30) };
    /// How long daemons that are neither readers nor standby readers wait for these to get fresh rows before they read
    /// the store themselves. A call to the store takes less time than this, and a change still takes effect everywhere
    /// within 2 s.
    Core::Duration standbyHeadStart { std::chrono::milliseconds(300) };

    bool operator==(RelayOptions const&) const = default;
};

/// A daemon that takes part in relaying the rows of the store.
struct RelayMember {
    std::string name;
    std::string endpoint;        ///< "address:port" at which other daemons ask it.
    double processorShare { 1 }; ///< Processor time of its VM, in cores.

    bool operator==(RelayMember const&) const = default;
};

/// Converts a member to the text of its row and back. If the text cannot be parsed, the member has an empty endpoint
/// and is not asked.
std::string memberText(RelayMember const&);
RelayMember parseMember(std::string name, std::string const& text);

/// Returns the daemons that `self` asks for the rows of the store, in the order in which it tries them. Returns an
/// empty list for a daemon that is not a member yet.
///
/// All daemons sort the members in the same order: by processor time, largest first, because a small VM takes too long
/// to answer many others, and then by the hash of the name. The first ones read the store, and each further one asks
/// one before it, so a change spreads along a tree of logarithmic depth. If its parent is unreachable, a daemon asks
/// another daemon of the parent's level, so that not all children of the parent ask the readers. After that it
/// tries the readers and then the standby readers.
std::vector<RelayMember> relaySources(std::string_view self, std::vector<RelayMember> members, RelayOptions const&);

/// Sorts the members in the order in which relaySources() ranks them.
std::vector<RelayMember> rankedMembers(std::vector<RelayMember> members);

/// How a daemon gets fresh rows.
enum class RelayRole : uint8_t {
    Reader,        ///< Reads the store for all daemons.
    StandbyReader, ///< Reads the store if no other daemon has fresh rows.
    Follower,      ///< Asks other daemons; reads the store only if the standby readers have no fresh rows either.
};

/// Returns RelayRole::Follower for a daemon that is not a member yet.
RelayRole relayRole(std::string_view self, std::vector<RelayMember> members, RelayOptions const&);

/// Tracks which daemons did not answer and for how long they are not asked.
class RelayBackoff {
public:
    void noteFailed(std::string const& member, RelayOptions const&, Core::Instant now);
    void noteAnswered(std::string const& member);
    bool isBackingOff(std::string const& member, Core::Instant now) const;
    /// Returns true if the last request to the member failed. The next one gets only a short time: while a third of the
    /// daemons is unreachable, waiting long for one of them delays a change beyond its limit.
    bool hasFailed(std::string const& member) const { return m_entries.contains(member); }

private:
    struct Entry {
        unsigned failures { 0 };
        Core::Instant until {};
    };

    std::map<std::string, Entry> m_entries;
};

}
