#pragma once

#include "RowTables.h"
#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace Comfreysail::Fakes {

/// Who calls. Operators and targets write the tables that the system may only read.
enum class CallerRole : uint8_t {
    System,
    Operator,
};

/// Calls of all callers together that the platform takes in one second; 0 for no limit.
struct CallRates {
    unsigned writesPerSecond { 0 };
    unsigned readsPerSecond { 0 };
};

/// The calls of the platform's store on its tables, without a network.
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

    /// Nothing for a feed without a change yet; the caller asks again later, and passes `mustAnswer` at the end.
    std::optional<Answer> run(std::string_view method, std::string_view target, std::string const& body, CallerRole,
        Clock::time_point now, bool mustAnswer);
    /// How long a feed call waits for a change; 0 for other calls.
    static std::chrono::milliseconds waitOf(std::string_view target);

    void dropHistory() { m_tables.dropHistory(); }
    std::string stats(std::string_view mode) const;

private:
    bool isOverRate(bool isWrite, Clock::time_point now);
    Answer readRows(std::string_view query) const;
    Answer transact(std::string const& body, CallerRole);
    std::optional<Answer> feed(std::string_view query, bool mustAnswer) const;
    std::optional<Answer> objects(std::string_view method, std::string_view path, std::string const& body);

    CallRates m_rates;
    RowTables m_tables;
    Clock::time_point m_rateSecond {};
    unsigned m_writesInSecond { 0 };
    unsigned m_readsInSecond { 0 };
    uint64_t m_reads { 0 };
    uint64_t m_writes { 0 };
    uint64_t m_conflicts { 0 };
    uint64_t m_bytesReceived { 0 };
    uint64_t m_bytesSent { 0 };
};

}
