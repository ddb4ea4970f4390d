#pragma once

#include "GroupChoice.h"
#include "TargetSender.h"

namespace Comfreysail::Daemon {

/// Forwards a request to the home of its group. TryElsewhere: the home cannot serve it and another daemon may, because
/// the request surely did not run or may run again.
HTTP::awaitable<ForwardEnd> forwardToHome(DaemonServices&, RequestContext&, GroupChoice const&);

}
