#pragma once

#include "CrashReporter.h"
#include "MoveController.h"
#include "Relay.h"
#include "StoreReader.h"
#include <LibHTTP/Asio.h>

namespace Comfreysail::Daemon {

/// Keeps the entry state up to date. A few daemons read the platform's store; the others get the rows from them,
/// directly or through further daemons. They read the store themselves only if no other daemon has fresh rows.
class StoreFollower {
public:
    StoreFollower(boost::asio::io_context&, StoreReader&, Relay&, RowAdopter&, MoveController&, CrashReporter&,
        EntryState&, Traffic::RelayMember self, std::vector<std::string> seeds, bool isFirstStart);

    void start();
    void setSeeds(std::vector<std::string> seeds) { m_seeds = std::move(seeds); }

private:
    HTTP::awaitable<void> follow();
    bool isSeed() const;
    Traffic::RelayRole role();
    bool mayReadStore(Traffic::RelayRole, Core::Instant now) const;
    /// The longest wait after a failed read of the store, for a daemon that is neither a reader nor a standby reader.
    Core::Duration maxBackoffOfFollower() const;
    bool mayAdvanceMoves(Traffic::RelayRole);
    void noteFresh();
    HTTP::awaitable<bool> pollOthers();
    HTTP::awaitable<RelayResult> pollOne(Traffic::RelayMember source, bool mayWait);
    RelayQuery queryFor(std::string const& member, bool mayWait) const;
    HTTP::awaitable<bool> readStore();
    /// Reads what a daemon that starts must know before it serves requests: which of them crash targets, and how far
    /// the moves are. It serves without those rows if just they cannot be read.
    HTTP::awaitable<void> readHistory();
    HTTP::awaitable<void> registerSelf();
    HTTP::awaitable<void> pause(Core::Duration);
    void adoptRows();
    bool mayAdoptRows(RelayResult, Core::Instant now) const;
    std::vector<Traffic::RelayMember> const& members();

    boost::asio::io_context& m_context;
    StoreReader& m_reader;
    Relay& m_relay;
    RowAdopter& m_adopter;
    MoveController& m_moveController;
    CrashReporter& m_crashReporter;
    EntryState& m_state;
    Traffic::RelayMember m_self;
    std::vector<std::string> m_seeds;
    bool m_isFirstStart;
    Traffic::RelayBackoff m_backoff;
    /// What follows from the member list. Sorting it takes milliseconds on a small VM, and it changes rarely.
    uint64_t m_membersVersion { 0 };
    std::vector<Traffic::RelayMember> m_members;
    std::vector<Traffic::RelayMember> m_sources;
    Traffic::RelayRole m_role { Traffic::RelayRole::Follower };
    Core::Instant m_startedAt {};
    Core::Instant m_membersReadAt {};
    Core::Instant m_registeredAt {};
    bool m_wasRegistered { false };            ///< At the last look, the own row was among the members.
    std::optional<Core::Instant> m_staleSince; ///< Start of the time in which no polled daemon had fresh rows.
    /// Of the last pollOthers() without fresh rows. Failed: no daemon responded; Stale: at least one did.
    RelayResult m_lastPollResult { RelayResult::Fresh };
    size_t m_failedRounds { 0 }; ///< Number of pollOthers() calls in that time.
    Core::Instant m_storeTriedAt {};
    Core::Duration m_storeBackoff {};
    uint64_t m_adoptedVersion { 0 };
    std::map<std::string, uint64_t, std::less<>> m_adoptedVerdicts;
    Core::Instant m_adoptedReadAt {}; ///< When the applied targets were read from the store.
};

}
