#pragma once

#include "DaemonServices.h"
#include "RequestContext.h"
#include "TargetSender.h"

namespace Comfreysail::Daemon {

/// Handles a request from its head to the end of its response (design.md, section 3).
class RequestHandler {
public:
    explicit RequestHandler(DaemonServices&);

    HTTP::awaitable<void> handle(HTTP::ServerExchange&, Origin);

private:
    HTTP::awaitable<Core::Result<Core::Empty>> prepare(RequestContext&);
    void applyDepartmentMove(RequestContext&, Settings::SettingsTree const&);
    HTTP::awaitable<ForwardResult> forward(RequestContext&);
    HTTP::awaitable<ForwardResult> forwardOnce(RequestContext&, GroupChoice const&);
    HTTP::awaitable<std::optional<ForwardResult>> trySpill(RequestContext&, GroupChoice const&);
    HTTP::awaitable<void> refuse(RequestContext&, Core::Error const&);
    void recordEnd(RequestContext const&, Core::Error const*);

    DaemonServices& m_services;
    TargetSender m_targetSender;
};

}
