#pragma once

#include "RowTables.h"
#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace Comfreysail::Fakes {

/// Who sends a call. The system may only read the tables of operators and targets; the operator role may write them.
enum class CallerRole : uint8_t {
    System,
    Operator,
};

/// Rate limits over all callers together; 0 means no limit.
struct CallRates {
    unsigned writesPerSecond { 0 };
    unsigned readsPerSecond { 0 };
};

/// Runs calls to the platform's store on in-memory tables, without a network.
class PlatformCalls {
public:
    using Clock = std::chrono::steady_clock;

    struct Answer {
        unsigned status { 200 };
        std::string body;
        std::string contentType { "application/json" };
    };

    explicit PlatformCalls(CallRates rates = {})
        : m_rates(rates)
    {
    }

    static bool isWrite(std::string_view method);

    /// Runs one call. Returns std::nullopt for a feed call that has no change to report yet; the caller then polls, and
    /// sets `mustAnswer` once the wait time of the call is over.
    std::optional<Answer> run(std::string_view method, std::string_view target, std::string const& body, CallerRole,
        Clock::time_point now, bool mustAnswer);
    /// Returns how long a feed call waits for a change; 0 for other calls.
    static std::chrono::milliseconds feedWaitTime(std::string_view target);

    void dropHistory() { m_tables.dropHistory(); }
    /// Keeps a copy of all rows and objects, with the revision.
    void keepCopy() { m_copy = m_tables; }
    /// Goes back to the last copy and begins the next era. False if there is no copy.
    bool restoreCopy();
    /// Number of the current era. Each return from a copy raises it by one.
    uint64_t era() const { return m_era; }
    std::string stats(std::string_view mode) const;

private:
    bool exceedsRateLimit(bool isWrite, Clock::time_point now);
    Answer readRows(std::string_view query) const;
    Answer transact(std::string const& body, CallerRole);
    std::optional<Answer> readFeed(std::string_view query, bool mustAnswer) const;
    std::optional<Answer> runObjectCall(std::string_view method, std::string_view path, std::string const& body);

    CallRates m_rates;
    RowTables m_tables;
    std::optional<RowTables> m_copy;
    static constexpr uint64_t firstEra = 1;
    uint64_t m_era { firstEra };
    Clock::time_point m_rateWindowStart {};
    unsigned m_writesInSecond { 0 };
    unsigned m_readsInSecond { 0 };
    uint64_t m_reads { 0 };
    uint64_t m_writes { 0 };
    uint64_t m_conflicts { 0 };
    uint64_t m_bytesReceived { 0 };
    uint64_t m_bytesSent { 0 };
};

}
