#pragma once

#include "HostPort.h"
#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Comfreysail::Tool {

/// The parsed command line.
struct Invocation {
    enum class Command : uint8_t { Help, Version, Apply, Show, Diff, Status, Moves, Explain, Route };
    enum class MovesAction : uint8_t { List, Declare, Pause, Resume, TakeBack };

    Command command { Command::Help };
    bool isJson { false };
    std::optional<HostPort> platform;
    std::vector<HostPort> daemons;
    uint16_t adminPort { 0 }; ///< Admin port of the daemons in the VM list, which has addresses only.
    Core::Duration timeout {};

    std::string file;                         ///< apply, diff.
    std::optional<uint64_t> expectedRevision; ///< apply.
    std::string changeId;                     ///< apply and moves; generated when not given.
    bool wait { false };

    std::string service;    ///< show, moves declare.
    std::string department; ///< show.
    std::string key;        ///< show; empty for all keys.
    bool wantsToml { false };

    std::string requestId;             ///< explain.
    std::vector<std::string> logFiles; ///< explain; none for standard input.

    std::string method;                      ///< route.
    std::string host;                        ///< route; with the port of the URL, if it has one.
    std::string path;                        ///< route; with the query.
    std::string keyFile;                     ///< route; "-" for standard input, empty for no key.
    std::optional<Core::Duration> timeLimit; ///< route.

    MovesAction movesAction { MovesAction::List };
    std::string moveId;
    std::string moveKind;
    std::string from;
    std::string to;
    std::string reason;
    std::optional<Core::WallTime> start;
    std::optional<Core::WallTime> finishBy;
};

/// Parses the command line. An error is a usage error, with a message for the operator in its detail. Relative times
/// such as "+10m" are relative to `now`.
Core::Result<Invocation> parseInvocation(std::vector<std::string> const& arguments, Core::WallTime now);

/// Returns the text that --help prints.
std::string usageText();

/// Parses "now", a UTC time such as "2026-12-04T10:00:00Z", or an offset from `now` such as "+90s" (units ms, s, m, h,
/// d). Returns std::nullopt if the text is invalid.
std::optional<Core::WallTime> parseTime(std::string const&, Core::WallTime now);
/// Formats a time as UTC in whole seconds, such as "2026-12-04T10:00:00Z".
std::string timeText(Core::WallTime);

}
