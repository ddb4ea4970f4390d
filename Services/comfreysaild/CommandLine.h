#pragma once

#include <string>
#include <variant>

namespace Comfreysail::Daemon {

inline constexpr int exitSuccess = 0;
inline constexpr int exitRuntimeFailure = 1;
inline constexpr int exitUsage = 2;

/// What the command line asks for.
struct CommandLine {
    std::string settingsPath;
    bool checkOnly { false };
};

/// The process ends with this code; the text was printed.
struct ExitNow {
    int code { exitSuccess };
};

/// Parses the arguments. Prints help, version and usage errors itself.
std::variant<CommandLine, ExitNow> parseCommandLine(int argumentCount, char const* const* arguments);

}
