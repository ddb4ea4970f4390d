#pragma once

#include "DaemonServices.h"
#include <LibHTTP/HTTP.h>
#include <functional>

namespace Comfreysail::Daemon {

struct AdminResponse {
    unsigned status { 200 };
    std::string body;
    std::string contentType { "text/plain; charset=utf-8" };
};

/// Answers /health, /ready, /metrics, /status and /settings on the admin port.
class AdminHandler {
public:
    /// `isReady` is false from the begin of a shutdown on.
    AdminHandler(DaemonServices&, std::function<bool()> isReady);

    HTTP::awaitable<void> handle(HTTP::ServerExchange&);

private:
    AdminResponse read(std::string_view path) const;
    /// Takes settings that the operators' tool hands over, in the form of the row settings/head with its text.
    HTTP::awaitable<AdminResponse> acceptSettings(HTTP::ServerExchange&);
    std::string metricsText() const;
    std::string statusJson() const;

    DaemonServices& m_services;
    std::function<bool()> m_isReady;
};

}
