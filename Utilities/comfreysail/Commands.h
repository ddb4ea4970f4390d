#pragma once

#include "Report.h"
#include "ToolContext.h"

namespace Comfreysail::Tool {

Report runApply(ToolContext const&);
Report runShow(ToolContext const&);
Report runDiff(ToolContext const&);
Report runStatus(ToolContext const&);
Report runMoves(ToolContext const&);
/// Prints the log lines of one request from daemons' logs. Each time the request reaches another daemon, prints the
/// events that describe what this daemon knew then (settings, moves, reachability of the store). Calls no daemon.
Report runExplain(Invocation const&);
/// Asks one daemon where a request would go now and why. Sends no request.
Report runRoute(ToolContext const&);

}
