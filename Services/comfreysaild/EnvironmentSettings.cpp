#include "EnvironmentSettings.h"

#include <LibSettings/Settings.h>
#include <array>
#include <cstdlib>
#include <string_view>
#include <utility>

namespace Comfreysail::Daemon {

namespace {

constexpr char const* maxDescriptorsVariable = "COMFREYSAIL_MAX_FDS";
constexpr char const* endpointVariable = "COMFREYSAIL_DUTY_ENDPOINT";
constexpr char const* kindsVariable = "COMFREYSAIL_DUTY_KINDS"; // Separated by commas.

// Keys of the table `duties`.
constexpr std::array<std::pair<char const*, std::string_view>, 4> numbers { {
    { "COMFREYSAIL_DUTY_CALLS_PER_SECOND", "calls_per_second" },
    { "COMFREYSAIL_REPORT_WINDOW_SECONDS", "report_window_seconds" },
    { "COMFREYSAIL_REPORT_DUE_SECONDS", "report_due_seconds" },
    { "COMFREYSAIL_LEASE_SECONDS", "lease_seconds" },
} };

std::string_view variable(char const* name)
{
    // Called before other threads start.
    auto const* const value = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return value ? value : std::string_view();
}

std::string assignment(std::string_view key, std::string_view value)
{
    return std::string(key) + " = " + Settings::tomlString(value) + "\n";
}

std::string kindsAssignment()
{
    std::string items;
    auto rest = variable(kindsVariable);
    while (!rest.empty()) {
        auto const end = std::min(rest.find(','), rest.size());
        items += (items.empty() ? "" : ", ") + Settings::tomlString(rest.substr(0, end));
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return "kinds = [" + items + "]\n";
}

}

std::string environmentToml()
{
    std::string toml;
    if (auto const descriptors = variable(maxDescriptorsVariable); !descriptors.empty())
        toml += assignment("max_fds", descriptors);
    auto const endpoint = variable(endpointVariable);
    if (endpoint.empty())
        return toml;
    toml += "[duties]\n" + assignment("endpoint", endpoint) + kindsAssignment();
    for (auto const& [name, key] : numbers) {
        if (auto const value = variable(name); !value.empty())
            toml += assignment(key, value);
    }
    return toml;
}

}
