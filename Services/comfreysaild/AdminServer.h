#pragma once

#include "DaemonServices.h"
#include <LibHTTP/HTTP.h>
#include <functional>

namespace Comfreysail::Daemon {

/// Answers /health, /ready, /metrics, /status and /settings on the admin port.
class AdminHandler {
public:
    /// `isReady` is false from the begin of a shutdown on.
    AdminHandler(DaemonServices&, std::function<bool()> isReady);

    HTTP::awaitable<void> handle(HTTP::ServerExchange&);

private:
    std::string metricsText() const;
    std::string statusJson() const;

    DaemonServices& m_services;
    std::function<bool()> m_isReady;
};

}
