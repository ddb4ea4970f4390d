#include "LoadOptions.h"
#include <boost/program_options.hpp>
#include <iostream>

namespace Comfreysail::Benchmarks {

namespace program_options = boost::program_options;

std::optional<LoadOptions> parseOptions(int argumentCount, char** arguments, int& exitCode)
{
    LoadOptions options;
    int64_t seconds = options.duration.count();
    int64_t timeout = options.timeout.count();
    program_options::options_description description("LoadGenerator");
    auto add = description.add_options();
    add("help", "print this text");
    add("daemon", program_options::value(&options.daemons)->multitoken()->composing(), "host:port of each daemon");
    add("target", program_options::value(&options.targets)->multitoken()->composing(), "host:port of each target");
    add("target-direct", program_options::bool_switch(&options.targetDirect), "send to the targets");
    add("department", program_options::value(&options.departments)->multitoken()->composing());
    add("host", program_options::value(&options.host)->default_value(options.host));
    add("download-host", program_options::value(&options.downloadHost));
    add("rate", program_options::value(&options.rate)->default_value(options.rate), "calls per second");
    add("seconds", program_options::value(&seconds)->default_value(seconds));
    add("order-share", program_options::value(&options.orderShare)->default_value(0.2), "fraction of the calls");
    add("download-share", program_options::value(&options.downloadShare)->default_value(0.02), "fraction of the calls");
    add("download-bytes", program_options::value(&options.downloadBytes)->default_value(options.downloadBytes));
    add("poison-rate", program_options::value(&options.poisonRate)->default_value(0),
        "calls per second that crash a target");
    add("poison-paths", program_options::value(&options.poisonPaths)->default_value(1),
        "number of different paths of the calls that crash a target");
    add("timeout-ms", program_options::value(&timeout)->default_value(timeout));
    add("order-attempts", program_options::value(&options.orderAttempts)->default_value(options.orderAttempts));
    add("seed", program_options::value(&options.seed)->default_value(options.seed));
    add("executions-file", program_options::value(&options.executionsFiles)->multitoken()->composing());
    try {
        program_options::variables_map variables;
        program_options::store(program_options::parse_command_line(argumentCount, arguments, description), variables);
        program_options::notify(variables);
        if (variables.contains("help")) {
            std::cout << description;
            exitCode = 0;
            return std::nullopt;
        }
        if ((options.targetDirect ? options.targets : options.daemons).empty())
            throw program_options::error("--daemon is required, or --target with --target-direct");
        if (options.rate <= 0 || options.departments.empty())
            throw program_options::error("--rate must be positive and --department must not be empty");
    } catch (program_options::error const& error) {
        std::cerr << "LoadGenerator: " << error.what() << "\n";
        exitCode = 2;
        return std::nullopt;
    }
    options.duration = std::chrono::seconds(seconds);
    options.timeout = std::chrono::milliseconds(timeout);
    if (options.downloadHost.empty())
        options.downloadHost = options.host;
    return options;
}

}
