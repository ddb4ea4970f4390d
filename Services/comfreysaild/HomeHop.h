#pragma once

#include "GroupChoice.h"
#include "TargetSender.h"

namespace Comfreysail::Daemon {

/// Forwards a request to the home of its group. Returns TryOtherZone if the home cannot serve it and another daemon may
/// try, because the request certainly did not run or may run again.
HTTP::awaitable<ForwardResult> forwardToHome(DaemonServices&, RequestContext&, GroupChoice const&);

}
