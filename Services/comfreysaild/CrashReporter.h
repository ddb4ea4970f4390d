#pragma once

#include "CrashRows.h"
#include "StoreReader.h"
#include <boost/asio/io_context.hpp>
#include <random>

namespace Comfreysail::Daemon {

/// Writes crash reports of this daemon to the store, and removes the rows of reports that do not hold any more. Changes
/// that the store does not take are tried again until it does, so that an outage neither hides a request that crashes
/// targets nor leaves one suspect that does not.
class CrashReporter {
public:
    CrashReporter(boost::asio::io_context&, StoreReader&, EntryState&);

    /// The target instance crashed while it ran the request with this fingerprint.
    void report(Retry::CrashReport const&, Core::Instant crashedAt);

    /// The request with this fingerprint was answered after the reported crashes, so it did not cause them.
    void withdraw(uint64_t fingerprint);

    /// Removes rows that have expired.
    void remove(std::vector<std::string> const& keys);
    /// Writes rows again that the store has lost, by key.
    void restore(std::map<std::string, std::string> const& rows);

private:
    void enqueue(std::string key, std::optional<std::string> value);
    HTTP::awaitable<void> writePending();
    Platform::RowTransaction nextTransaction();
    HTTP::awaitable<void> pause(Core::Duration);

    boost::asio::io_context& m_context;
    StoreReader& m_reader;
    EntryState& m_state;
    /// Values of the rows to write, by key; std::nullopt for rows to remove.
    std::map<std::string, std::optional<std::string>, std::less<>> m_pending;
    bool m_isWriting { false };
    std::minstd_rand m_generator { std::random_device {}() };
};

}
