#pragma once

#include "UsagePusher.h"
#include <platform/Platform.h>
#include <random>

namespace Comfreysail::Daemon {

/// Path of the pushes on the control port.
inline constexpr std::string_view usagePushPath = "/usage-counts";

/// Counts of requests by department: sends them to the collectors, collects those of other daemons, and reports them to
/// the platform while this daemon has the duty. LibUsage decides; docs/design/usage.md describes the protocol.
class UsageReporter {
public:
    UsageReporter(boost::asio::io_context&, HTTP::ConnectionPool&, Platform::StoreClient&, EntryState&,
        std::string vmName, HTTP::Endpoint const& platform);

    void start();

    /// Responds to another daemon's push.
    HTTP::awaitable<void> handle(HTTP::ServerExchange&);

    /// Sends the last counts, before the process ends.
    HTTP::awaitable<void> pushBeforeExit(Core::Duration timeout);

private:
    HTTP::awaitable<void> pushLoop();
    HTTP::awaitable<void> dutyLoop();
    HTTP::awaitable<Usage::DutyStep> decide();
    HTTP::awaitable<void> run(Usage::DutyStep);
    HTTP::awaitable<void> readRow();
    HTTP::awaitable<void> writeRow();
    HTTP::awaitable<void> sendReport(Usage::DutyStep);
    void noteWrite(Usage::DutyWrite const&);
    void noteStoreCall(bool isAnswered);
    void updatePosition(size_t position);
    Usage::DutyTime dutyTime() const;
    HTTP::awaitable<void> pause(Core::Duration);

    boost::asio::io_context& m_context;
    Platform::StoreClient& m_store;
    EntryState& m_state;
    UsageState& m_usage;
    UsagePusher m_pusher;
    Platform::UsageClient m_platform;
    std::minstd_rand m_generator { std::random_device {}() };
    unsigned m_pauses { 0 };                   ///< Pauses of the process that were noticed.
    std::optional<Usage::WindowId> m_askedFor; ///< The window for which the collectors were asked before a read.
};

}
