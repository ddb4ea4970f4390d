#pragma once

#include "EntryState.h"
#include <LibHTTP/HTTP.h>
#include <boost/asio/io_context.hpp>

namespace Comfreysail::Daemon {

/// Sends this daemon's counts to the collectors, which are the first daemons of the relay's ranking that respond.
class UsagePusher {
public:
    UsagePusher(boost::asio::io_context&, HTTP::ConnectionPool&, EntryState&, std::string vmName);

    /// Sends what the collectors do not have yet. If `isForced`, also if there is nothing, to learn what they know.
    HTTP::awaitable<void> push(bool isForced, Core::Duration timeout);

    /// Returns true if a collector does not have all counts.
    bool hasNewCounts();

    /// Position of this daemon among the candidates for the duty; daemons that do not respond are left out. Nullopt if
    /// it is no candidate.
    std::optional<size_t> position();

    size_t memberCount() { return members().size(); }

    /// Forgets what the collectors have of windows that are not counted any more.
    void dropOldWindows();

private:
    /// What a collector has confirmed.
    struct Confirmed {
        std::string incarnation;
        Usage::CountsByWindow counts;
    };

    std::vector<Traffic::RelayMember> const& members();
    HTTP::awaitable<bool> pushTo(Traffic::RelayMember, bool isForced, Core::Duration timeout);
    HTTP::awaitable<std::optional<Usage::UsageReply>> exchange(
        HTTP::Endpoint, Usage::UsagePush const&, Core::Duration timeout);
    void noteReply(std::string const& member, Usage::UsageReply const&, Usage::CountsByWindow const& sent);

    boost::asio::io_context& m_context;
    HTTP::ConnectionPool& m_pool;
    EntryState& m_state;
    std::string m_vmName;
    uint64_t m_membersVersion { 0 };
    std::vector<Traffic::RelayMember> m_members; ///< In the order of the ranking.
    Traffic::RelayBackoff m_backoff;
    std::map<std::string, Confirmed, std::less<>> m_confirmed; ///< By collector.
    bool m_hasOffset { false }; ///< A better ranked collector has stated the agreed offset in this round.
};

}
