#include "Report.h"
#include <LibCore/ErrorKind.h>
#include <boost/json.hpp>
#include <iostream>

namespace json = boost::json;

namespace Comfreysail::Tool {

Report Report::ofError(Core::Error const& error)
{
    auto const name = Core::errorName(error.kind);
    Report report { exitCodeFor(error.kind), {}, error.detail, {} };
    report.json["outcome"] = report.code == ExitCode::OutcomeUnknown ? "unknown" : "failed";
    report.json["error"] = name;
    return report;
}

void Report::print(bool isJson) const
{
    if (isJson) {
        auto object = json;
        if (!problem.empty())
            object["problem"] = problem;
        object["exit_code"] = static_cast<int>(code);
        std::cout << json::serialize(object) << std::endl;
        return;
    }
    std::cout << text << std::flush;
    if (!problem.empty())
        std::cerr << "comfreysail: " << problem << '\n';
}

std::string differencesText(std::vector<Settings::Difference> const& differences)
{
    std::string result;
    for (auto const& difference : differences)
        result += difference.text() + '\n';
    return result;
}

json::array differencesJson(std::vector<Settings::Difference> const& differences)
{
    auto const side = [](std::optional<std::string> const& text) { return text ? json::value(*text) : json::value(); };
    json::array result;
    for (auto const& difference : differences) {
        result.emplace_back(json::object {
            { "path", difference.path }, { "before", side(difference.before) }, { "after", side(difference.after) } });
    }
    return result;
}

}
