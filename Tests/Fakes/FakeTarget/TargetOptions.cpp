#include "TargetOptions.h"
#include <boost/program_options.hpp>
#include <iostream>

namespace Comfreysail::Fakes {

namespace program_options = boost::program_options;

std::optional<TargetOptions> parseOptions(int argumentCount, char** arguments, int& exitCode)
{
    TargetOptions options;
    int64_t coldMilliseconds = 0;
    program_options::options_description description("FakeTarget");
    auto add = description.add_options();
    add("help", "print this text");
    add("host", program_options::value(&options.host)->default_value(options.host));
    add("port", program_options::value(&options.port)->required());
    add("name", program_options::value(&options.name)->default_value(options.name));
    add("zone", program_options::value(&options.zone)->default_value(options.zone));
    add("version-name", program_options::value(&options.versionName)->default_value(options.versionName));
    add("slots", program_options::value(&options.slots)->default_value(options.slots));
    add("limit", program_options::value(&options.limit),
        "most running and queued requests; default four times the slots");
    add("seed", program_options::value(&options.seed)->default_value(options.seed));
    add("lookup-ms", program_options::value(&options.lookupMilliseconds)->default_value(5), "mean service time");
    add("order-ms", program_options::value(&options.orderMilliseconds)->default_value(10), "mean service time");
    add("download-rate", program_options::value(&options.downloadBytesPerSecond), "bytes per second of one download");
    add("cold-ms", program_options::value(&coldMilliseconds)->default_value(0),
        "warm-up time until the target can take its limit");
    add("server-leaving", program_options::value(&options.leaving), "value of Server-Leaving in every response");
    add("server-limit", program_options::value(&options.limitField), "value of Server-Limit in every response");
    add("retry-after", program_options::value(&options.retryAfter), "value of Retry-After in every refusal");
    add("executions-file", program_options::value(&options.executionsFile),
        "file that executed idempotency keys are appended to");
    try {
        program_options::variables_map variables;
        program_options::store(program_options::parse_command_line(argumentCount, arguments, description), variables);
        if (variables.contains("help")) {
            std::cout << description;
            exitCode = 0;
            return std::nullopt;
        }
        program_options::notify(variables);
    } catch (program_options::error const& error) {
        std::cerr << "FakeTarget: " << error.what() << "\n";
        exitCode = 2;
        return std::nullopt;
    }
    options.coldTime = std::chrono::milliseconds(coldMilliseconds);
    if (options.limit == 0)
        options.limit = options.slots * 4;
    return options;
}

}
