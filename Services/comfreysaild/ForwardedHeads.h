#pragma once

#include "RequestContext.h"
#include <LibHTTP/HTTP.h>

namespace Comfreysail::Daemon {

/// The head that a target gets. `startBy`: the target must not start later.
HTTP::RequestHead headForTarget(RequestContext const&, Core::WallTime startBy, Core::Instant now);

/// The head that the home of the chosen group gets.
HTTP::RequestHead headForHome(RequestContext const&, ChosenGroup const&, Core::Instant now);

/// The head that the caller gets for a response of a target or another daemon. `mayHaveRunBefore`: an earlier send of
/// the request may have run, so the response must not say "not-run".
HTTP::ResponseHead headForCaller(RequestContext const&, HTTP::ResponseHead, bool mayHaveRunBefore);

/// Response header from a home to the daemon that forwarded the request: the target that answered. With the load
/// header it tells that daemon which targets are warm, should it have to take over.
inline constexpr std::string_view targetHeader = "Comfreysail-Target";

/// True when the response says that the request did not run.
bool saysNotRun(HTTP::ResponseHead const&);

/// True when a target refused the request without running it. Refusals that came from a deeper daemon do not count.
bool isShed(HTTP::ResponseHead const&);

}
