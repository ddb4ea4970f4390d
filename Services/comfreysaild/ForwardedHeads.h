#pragma once

#include "RequestContext.h"
#include <LibHTTP/HTTP.h>

namespace Comfreysail::Daemon {

/// The request head for a target. `startBy`: the target must not start the request later.
HTTP::RequestHead headForTarget(RequestContext const&, Core::WallTime startBy, Core::Instant now);

/// The request head for the home of the chosen group.
HTTP::RequestHead headForHome(RequestContext const&, ChosenGroup const&, Core::Instant now);

/// The response head for the caller, from that of a target or another daemon. `mayHaveRunBefore`: an earlier send of
/// the request may have run, so the response must not say "not-run".
HTTP::ResponseHead headForCaller(RequestContext const&, HTTP::ResponseHead, bool mayHaveRunBefore);

/// Response header from a home to the daemon that forwarded the request: the target that responded. Together with the
/// load header it shows that daemon which targets are warm, in case it has to take over as home.
inline constexpr std::string_view targetHeader = "Comfreysail-Target";

/// True if the response says that the request did not run.
bool saysNotRun(HTTP::ResponseHead const&);

/// True if a target refused the request without running it. False for refusals by another daemon that the target
/// called.
bool isShed(HTTP::ResponseHead const&);

}
