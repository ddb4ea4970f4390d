#pragma once

#include "Report.h"
#include "ToolContext.h"

namespace Comfreysail::Tool {

Report runApply(ToolContext const&);
Report runShow(ToolContext const&);
Report runDiff(ToolContext const&);
Report runStatus(ToolContext const&);
Report runMoves(ToolContext const&);

}
