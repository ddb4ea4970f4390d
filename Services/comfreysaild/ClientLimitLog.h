#pragma once

#include <LibCore/Time.h>
#include <LibHTTP/HTTP.h>
#include <LibTelemetry/Telemetry.h>
#include <map>
#include <string>

namespace Comfreysail::Daemon {

/// Counts and logs the limits on clients that take effect. A crowd of clients reaches a limit thousands of times a
/// second, so each limit gets at most one log line a second, with the number since the last line and the last address.
class ClientLimitLog {
public:
    explicit ClientLimitLog(Telemetry::MetricRegistry&);

    void note(HTTP::ClientLimit, std::string const& address, Core::Instant now);

private:
    struct Entry {
        Telemetry::Counter* counter { nullptr };
        Core::Instant loggedAt {};
        uint64_t notLogged { 0 };
    };

    Telemetry::MetricRegistry& m_metrics;
    std::map<HTTP::ClientLimit, Entry> m_entries;
};

}
