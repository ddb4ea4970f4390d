#pragma once

#include "HttpCaller.h"
#include "LoadOptions.h"
#include "LoadReport.h"
#include <LibCore/Core.h>
#include <random>

namespace Comfreysail::Benchmarks {

/// Generates the calls of several departments as an open-loop load: calls start at the configured rate, whether or not
/// earlier ones have ended. An order that was refused or whose outcome is unknown is retried with the same idempotency
/// key through another daemon. Every answer is checked.
class LoadCallers {
public:
    LoadCallers(boost::asio::io_context&, LoadOptions const&);

    /// Returns when the last call has ended.
    boost::asio::awaitable<void> run();

    /// Reads the execution counts from the executions files if there are any, else from the targets.
    boost::asio::awaitable<ExecutionCounts> readExecutions();

    LoadReport report;

private:
    struct Call {
        CallKind kind { CallKind::Lookup };
        uint64_t number { 0 };
        Core::Instant plannedStart;
        std::string path;
        std::string body;
        std::string department;
    };

    Call plan(Core::Instant plannedStart);
    boost::asio::awaitable<void> runCall(Call);
    boost::asio::awaitable<CallEnd> runOrder(Call const&);
    boost::asio::awaitable<CallEnd> runIdempotent(Call const&);
    boost::asio::awaitable<Reply> send(Call const&, unsigned attempt);
    boost::asio::awaitable<void> printProgress();
    std::string requestId(Call const&, unsigned attempt) const;
    std::string key(Call const&) const;
    CallEnd classifyReply(Call const&, unsigned attempt, Reply const&);
    std::string const& addressFor(Call const&, unsigned attempt) const;
    /// Prints a reply that must not occur, with the address that the request was sent to. Prints nothing for other
    /// ends.
    void printFault(Call const&, unsigned attempt, CallEnd) const;

    boost::asio::io_context& m_context;
    LoadOptions const& m_options;
    HttpCaller m_http;
    std::mt19937_64 m_random;
    uint64_t m_running { 0 };
    bool m_isDone { false };
};

}
