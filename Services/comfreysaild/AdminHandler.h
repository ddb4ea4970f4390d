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
    /// `isReady` must return false once a shutdown has started.
    AdminHandler(DaemonServices&, std::function<bool()> isReady);

    HTTP::awaitable<void> handle(HTTP::ServerExchange&);

private:
    AdminResponse handleGet(std::string_view path) const;
    /// Accepts settings pushed by the operators' tool, in the JSON format of the row settings/head with the TOML text.
    HTTP::awaitable<AdminResponse> acceptSettings(HTTP::ServerExchange&);
    std::string metricsText() const;
    std::string statusJson() const;

    DaemonServices& m_services;
    std::function<bool()> m_isReady;
};

}
