#include "CommandLine.h"

#include <boost/program_options.hpp>
#include <iostream>

namespace Comfreysail::Daemon {

namespace {

namespace options = boost::program_options;

void printHelp(options::options_description const& description)
{
    std::cout << "Usage: comfreysaild --settings FILE\n"
                 "       comfreysaild --check FILE\n\n"
                 "The load balancer's daemon. It runs on every entry VM.\n\n"
              << description
              << "\nSignals: SIGTERM and SIGINT shut down gracefully.\n"
                 "Exit codes: 0 success, 1 runtime failure, 2 usage error or invalid settings.\n";
}

ExitNow usageError(std::string const& problem)
{
    std::cerr << "comfreysaild: " << problem << "\nTry 'comfreysaild --help'.\n";
    return { exitUsage };
}

}

std::variant<CommandLine, ExitNow> parseCommandLine(int argumentCount, char const* const* arguments)
{
    options::options_description description("Options");
    description.add_options()("settings", options::value<std::string>()->value_name("FILE"),
        "start with this settings file")("check", options::value<std::string>()->value_name("FILE"),
        "check a settings file and exit")("help", "print this text and exit")("version", "print the version and exit");
    options::variables_map values;
    try {
        auto const style = options::command_line_style::unix_style & ~options::command_line_style::allow_guessing;
        options::store(options::command_line_parser(argumentCount, arguments)
                           .options(description)
                           .positional({})
                           .style(style)
                           .run(),
            values);
    } catch (options::error const& error) {
        return usageError(
            std::string(error.what()) + "; allowed are --settings FILE, --check FILE, --help and --version");
    }
    if (values.contains("help")) {
        printHelp(description);
        return ExitNow { exitSuccess };
    }
    if (values.contains("version")) {
        std::cout << "comfreysaild " << COMFREYSAIL_VERSION << "\n";
        return ExitNow { exitSuccess };
    }
    if (values.contains("check") == values.contains("settings"))
        return usageError("exactly one of --settings FILE and --check FILE is required");
    bool const checkOnly = values.contains("check");
    return CommandLine { values[checkOnly ? "check" : "settings"].as<std::string>(), checkOnly };
}

}
