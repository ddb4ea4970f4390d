#pragma once

#include "HttpCaller.h"
#include "LoadOptions.h"
#include "LoadReport.h"
#include <LibCore/Core.h>
#include <random>

namespace Comfreysail::Benchmarks {

/// The callers of several departments: they start calls at the stated rate, whatever becomes of earlier ones, send
/// refused and unknown orders again under their key through another daemon, and check every answer.
class LoadCallers {
public:
    LoadCallers(boost::asio::io_context&, LoadOptions const&);

    /// Returns when the last call has ended.
    boost::asio::awaitable<void> run();

    /// Executions of each key, from the files or from the targets.
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
    boost::asio::awaitable<void> showProgress();
    std::string requestId(Call const&, unsigned attempt) const;
    std::string key(Call const&) const;
    CallEnd endOf(Call const&, unsigned attempt, Reply const&);
    std::string const& addressFor(Call const&, unsigned attempt) const;
    /// Prints a reply that must not occur, with the daemon that sent it.
    void showFault(Call const&, unsigned attempt, CallEnd) const;

    boost::asio::io_context& m_context;
    LoadOptions const& m_options;
    HttpCaller m_http;
    std::mt19937_64 m_random;
    uint64_t m_running { 0 };
    bool m_isDone { false };
};

}
