#include "Commands.h"
#include "Daemons.h"

namespace json = boost::json;

namespace Comfreysail::Tool {

Report runStatus(ToolContext const& context)
{
    auto listed = listDaemons(context);
    if (Core::isError(listed))
        return Report::ofError(Core::errorOf(listed));
    auto daemons = Core::takeValue(std::move(listed));
    readStatus(context, daemons, context.callDeadline());
    Report report;
    json::array array;
    for (auto const& daemon : daemons) {
        json::object object { { "name", daemon.name }, { "address", daemon.address.text() } };
        report.text += daemon.name + ' ' + daemon.address.text();
        if (daemon.error) {
            report.code = ExitCode::Failed;
            report.problem = "not every daemon answered";
            report.text += " error: " + daemon.error->detail + '\n';
            object["error"] = daemon.error->detail;
        } else {
            report.text += " revision=" + std::to_string(daemon.revision)
                + (daemon.isReady ? " ready=true\n" : " ready=false\n");
            object["revision"] = daemon.revision;
            object["ready"] = daemon.isReady;
        }
        array.emplace_back(std::move(object));
    }
    report.json["daemons"] = std::move(array);
    return report;
}

}
