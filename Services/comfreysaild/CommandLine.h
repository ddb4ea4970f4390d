#pragma once

#include <string>
#include <variant>

namespace Comfreysail::Daemon {

inline constexpr int exitSuccess = 0;
inline constexpr int exitRuntimeFailure = 1;
inline constexpr int exitUsage = 2;

/// The arguments of a command line that starts the daemon or checks a settings file.
struct CommandLine {
    std::string settingsPath;
    bool checkOnly { false };
};

/// The process must exit with this code; the help or error text was already printed.
struct ExitNow {
    int code { exitSuccess };
};

/// Parses the arguments. Prints help, version and usage errors itself.
std::variant<CommandLine, ExitNow> parseCommandLine(int argumentCount, char const* const* arguments);

}
