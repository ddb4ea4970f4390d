#pragma once

#include "Report.h"
#include "ToolContext.h"

namespace Comfreysail::Tool {

Report runApply(ToolContext const&);
Report runShow(ToolContext const&);
Report runDiff(ToolContext const&);
Report runStatus(ToolContext const&);
Report runMoves(ToolContext const&);
/// Reads logs of daemons and shows the way of one request with what was believed at each step. Needs no daemon.
Report runExplain(Invocation const&);

}
