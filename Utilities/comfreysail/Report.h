#pragma once

#include "ExitCode.h"
#include <LibCore/Error.h>
#include <LibSettings/Difference.h>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <string>
#include <vector>

namespace Comfreysail::Tool {

/// The result of a command, in both output formats.
struct Report {
    ExitCode code { ExitCode::Done };
    std::string text;         ///< Standard output with --output text.
    std::string problem;      ///< Standard error with --output text; field "problem" with --output json.
    boost::json::object json; ///< Standard output with --output json, printed as one line.

    static Report ofError(Core::Error const&);

    void print(bool isJson) const;
};

std::string differencesText(std::vector<Settings::Difference> const&);
boost::json::array differencesJson(std::vector<Settings::Difference> const&);

}
