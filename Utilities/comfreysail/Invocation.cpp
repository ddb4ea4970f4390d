#include "Invocation.h"
#include <LibCore/Hash.h>
#include <LibCore/Names.h>
#include <LibSettings/SettingKey.h>
#include <LibSettings/TextRule.h>
#include <LibStore/MoveRow.h>
#include <algorithm>
#include <array>
#include <boost/program_options.hpp>
#include <boost/url/parse.hpp>
#include <random>
#include <span>
#include <sstream>

namespace options = boost::program_options;

namespace Comfreysail::Tool {

namespace {

using Command = Invocation::Command;
using MovesAction = Invocation::MovesAction;

constexpr size_t maxLogFiles = 10'000;
constexpr uint64_t maxTimeLimitMilliseconds = 86'400'000;

struct CommandRule {
    std::string_view name;
    Command command;
    size_t minArguments;
    size_t maxArguments;
    std::vector<std::string_view> options; ///< In addition to commonOptions.
};

std::vector<CommandRule> const& commandRules()
{
    static std::vector<CommandRule> const rules {
        { "apply", Command::Apply, 1, 1,
            { "platform", "daemon", "admin-port", "timeout", "expect", "change-id", "wait" } },
        { "show", Command::Show, 0, 1, { "platform", "timeout", "service", "department", "toml" } },
        { "diff", Command::Diff, 1, 1, { "platform", "timeout" } },
        { "status", Command::Status, 0, 0, { "platform", "daemon", "admin-port", "timeout" } },
        { "moves", Command::Moves, 0, 2,
            { "platform", "timeout", "change-id", "service", "kind", "from", "to", "start", "finish-by", "reason" } },
        { "explain", Command::Explain, 1, maxLogFiles + 1, {} },
        { "route", Command::Route, 2, 2, { "daemon", "admin-port", "timeout", "key-file", "time-limit-ms", "json" } },
    };
    return rules;
}

struct ActionRule {
    std::string_view name;
    MovesAction action;
    std::vector<std::string_view> options;
};

std::vector<ActionRule> const& actionRules()
{
    static std::vector<ActionRule> const rules {
        { "list", MovesAction::List, {} },
        { "declare", MovesAction::Declare,
            { "change-id", "service", "kind", "from", "to", "start", "finish-by", "reason" } },
        { "pause", MovesAction::Pause, { "change-id", "reason" } },
        { "resume", MovesAction::Resume, { "change-id", "reason" } },
        { "take-back", MovesAction::TakeBack, { "change-id", "reason" } },
    };
    return rules;
}

// Options of every moves action, in addition to commonOptions.
constexpr std::array<std::string_view, 2> movesCommonOptions { "platform", "timeout" };
// Options of every command.
constexpr std::array<std::string_view, 3> commonOptions { "help", "version", "output" };

options::options_description visibleOptions()
{
    options::options_description description("Options");
    auto const text = [] { return options::value<std::string>(); };
    auto add = description.add_options();
    add("help", "print this help");
    add("version", "print the version");
    add("output", text()->default_value("text"), "text or json");
    add("platform", text(), "HOST:PORT of the platform's table service and object store");
    add("daemon", options::value<std::vector<std::string>>(),
        "HOST:PORT of a daemon's admin port; may be repeated; default: the platform's VM list with --admin-port; "
        "route: one, default 127.0.0.1 with --admin-port");
    add("admin-port", options::value<uint16_t>()->default_value(8082), "admin port of the daemons in the VM list");
    add("timeout", options::value<double>()->default_value(15), "seconds until a command gives up");
    add("expect", options::value<uint64_t>(),
        "apply: revision that the change is based on; default: the revision in force at the start");
    add("change-id", text(),
        "apply, moves: id of the change; give the same id to send a change again; default: a random id");
    add("wait", "apply: wait until the change is in force on every daemon");
    add("service", text(), "show: service; moves declare: service of the move");
    add("department", text(), "show: department");
    add("toml", "show: print the settings in force as TOML");
    add("kind", text(), "moves declare: version, availability_zone or department");
    add("from", text(), "moves declare: version, availability zone or department to leave");
    add("to", text(), "moves declare: where to; may be left out unless the kind is version");
    add("start", text()->default_value("now"), "moves declare: UTC time such as 2026-12-04T10:00:00Z, or +10m");
    add("finish-by", text(), "moves declare: UTC time, or offset such as +2h (units ms, s, m, h, d)");
    add("reason", text(), "moves: why, for the other operators");
    add("key-file", text(), "route: file with the API key of the request in its first line; - for standard input");
    add("time-limit-ms", options::value<uint64_t>(), "route: time limit that the client states");
    add("json", "route: the same as --output json");
    return description;
}

Core::Error usage(std::string detail) { return { Core::ErrorKind::MalformedRequest, std::move(detail) }; }

std::string randomChangeId()
{
    std::random_device device;
    auto const part = [&] { return static_cast<uint64_t>(device()); };
    return "change-" + Core::toHex((part() << 32) | part());
}

std::string_view missingArgument(Command command)
{
    if (command == Command::Explain)
        return " needs the id of a request";
    return command == Command::Route ? " needs METHOD and URL" : " needs a FILE";
}

/// Converts parsed options to an Invocation and collects all usage errors, so that the operator sees them at once.
class InvocationReader {
public:
    InvocationReader(options::variables_map const& values, Core::WallTime now)
        : m_values(values)
        , m_now(now)
    {
    }

    Core::Result<Invocation> read()
    {
        if (m_values.contains("help") || m_values.contains("version")) {
            m_result.command = m_values.contains("help") ? Command::Help : Command::Version;
            return m_result;
        }
        auto const words = m_values.contains("words") ? m_values["words"].as<std::vector<std::string>>()
                                                      : std::vector<std::string>();
        if (words.empty())
            return usage("a command is required: apply, show, diff, status, moves, explain or route");
        auto const rule = std::ranges::find(commandRules(), std::string_view(words[0]), &CommandRule::name);
        if (rule == commandRules().end())
            return usage(
                "unknown command \"" + words[0] + "\"; commands: apply, show, diff, status, moves, explain, route");
        m_result.command = rule->command;
        if (words.size() - 1 < rule->minArguments)
            return usage(words[0] + std::string(missingArgument(rule->command)));
        if (words.size() - 1 > rule->maxArguments)
            return usage(words[0] + " does not take the argument \"" + words.back() + '"');
        checkOptions(words[0], rule->options, commonOptions);
        readShared();
        if (rule->command == Command::Apply || rule->command == Command::Diff)
            m_result.file = words[1];
        if (rule->command == Command::Show)
            readShow(words);
        if (rule->command == Command::Moves)
            readMoves(words);
        if (rule->command == Command::Explain) {
            m_result.requestId = words[1];
            m_result.logFiles.assign(words.begin() + 2, words.end());
        }
        if (rule->command == Command::Route)
            readRoute(words);
        checkPlatform();
        if (!m_faults.empty())
            return usage(m_faults);
        return m_result;
    }

private:
    void addFault(std::string const& fault) { m_faults += (m_faults.empty() ? "" : "\n") + fault; }

    bool has(char const* name) const { return m_values.contains(name) && !m_values[name].defaulted(); }

    std::string text(char const* name) const
    {
        return m_values.contains(name) ? m_values[name].as<std::string>() : std::string();
    }

    void checkOptions(std::string const& subject, std::vector<std::string_view> const& allowed,
        std::span<std::string_view const> alsoAllowed)
    {
        for (auto const& [name, value] : m_values) {
            if (value.defaulted() || name == "words")
                continue;
            if (std::ranges::find(allowed, std::string_view(name)) == allowed.end()
                && std::ranges::find(alsoAllowed, std::string_view(name)) == alsoAllowed.end()
                && std::ranges::find(commonOptions, std::string_view(name)) == commonOptions.end())
                addFault(std::string(subject).append(" does not take --").append(name));
        }
    }

    std::optional<HostPort> readHostPort(std::string const& option, std::string const& value)
    {
        auto result = HostPort::parse(value);
        if (!result)
            addFault("--" + option + " must be " + std::string(Settings::hostPortRule.allowed) + ", but is \"" + value
                + '"');
        return result;
    }

    void readShared()
    {
        auto const output = text("output");
        if (output != "text" && output != "json")
            addFault("--output must be text or json, but is \"" + output + '"');
        m_result.isJson = output == "json";
        if (has("platform"))
            m_result.platform = readHostPort("platform", text("platform"));
        if (has("daemon")) {
            for (auto const& value : m_values["daemon"].as<std::vector<std::string>>()) {
                if (auto daemon = readHostPort("daemon", value))
                    m_result.daemons.push_back(std::move(*daemon));
            }
        }
        m_result.adminPort = m_values["admin-port"].as<uint16_t>();
        auto const seconds = m_values["timeout"].as<double>();
        if (!(seconds > 0 && seconds <= 86'400))
            addFault("--timeout must be more than 0 and at most 86400 seconds");
        else
            m_result.timeout = Core::Duration(static_cast<int64_t>(seconds * 1e6));
        if (has("expect"))
            m_result.expectedRevision = m_values["expect"].as<uint64_t>();
        m_result.changeId = has("change-id") ? text("change-id") : randomChangeId();
        if (!Core::isValidName(m_result.changeId))
            addFault("--change-id must be " + std::string(Settings::nameRule.allowed));
        m_result.wait = has("wait");
        m_result.service = text("service");
        m_result.department = text("department");
        m_result.wantsToml = has("toml");
    }

    void readShow(std::vector<std::string> const& words)
    {
        if (words.size() < 2)
            return;
        m_result.key = words[1];
        if (Settings::settingKeyNamed(m_result.key))
            return;
        std::string known;
        for (auto const& rule : Settings::settingKeyRules())
            known += (known.empty() ? "" : ", ") + std::string(rule.name);
        addFault("unknown key \"" + m_result.key + "\"; keys: " + known);
    }

    void readRoute(std::vector<std::string> const& words)
    {
        m_result.method = words[1];
        auto const isUpper = [](char character) { return character >= 'A' && character <= 'Z'; };
        if (m_result.method.empty() || !std::ranges::all_of(m_result.method, isUpper))
            addFault("METHOD must be upper-case letters such as GET, but is \"" + m_result.method + '"');
        auto const url = boost::urls::parse_uri(words[2]);
        bool const isHttp = url && (url->scheme() == "http" || url->scheme() == "https");
        if (!isHttp || url->host().empty() || url->has_userinfo()) {
            addFault("URL must be http://HOST[:PORT]/PATH, but is \"" + words[2] + '"');
        } else {
            m_result.host = url->encoded_host_and_port();
            m_result.path = url->encoded_target();
            if (!m_result.path.starts_with('/'))
                m_result.path.insert(0, "/");
        }
        m_result.isJson = m_result.isJson || has("json");
        m_result.keyFile = text("key-file");
        if (m_values.contains("time-limit-ms")) {
            auto const milliseconds = m_values["time-limit-ms"].as<uint64_t>();
            if (milliseconds == 0 || milliseconds > maxTimeLimitMilliseconds)
                addFault("--time-limit-ms must be from 1 to " + std::to_string(maxTimeLimitMilliseconds));
            else
                m_result.timeLimit = std::chrono::milliseconds(milliseconds);
        }
        if (m_result.daemons.size() > 1)
            addFault("route takes one --daemon");
        else if (!has("daemon"))
            m_result.daemons = { { "127.0.0.1", m_result.adminPort } };
    }

    void readMoves(std::vector<std::string> const& words)
    {
        auto const actionName = words.size() > 1 ? words[1] : std::string("list");
        auto const rule = std::ranges::find(actionRules(), std::string_view(actionName), &ActionRule::name);
        if (rule == actionRules().end()) {
            addFault("unknown action \"" + actionName + "\"; actions: list, declare, pause, resume, take-back");
            return;
        }
        m_result.movesAction = rule->action;
        checkOptions("moves " + actionName, rule->options, movesCommonOptions);
        if (rule->action == MovesAction::List) {
            if (words.size() > 2)
                addFault("moves list takes no id");
            return;
        }
        if (words.size() < 3)
            addFault("moves " + actionName + " needs the id of the move");
        else
            m_result.moveId = words[2];
        m_result.reason = text("reason");
        if (rule->action == MovesAction::Declare)
            readDeclaration();
    }

    void readDeclaration()
    {
        m_result.moveKind = text("kind");
        if (!Store::moveKindNamed(m_result.moveKind))
            addFault("--kind must be version, availability_zone or department");
        m_result.from = text("from");
        m_result.to = text("to");
        m_result.start = readTime("start");
        m_result.finishBy = readTime("finish-by");
    }

    std::optional<Core::WallTime> readTime(char const* option)
    {
        auto result = parseTime(text(option), m_now);
        if (!result)
            addFault(std::string("--") + option
                + " must be a UTC time such as 2026-12-04T10:00:00Z, or an offset such as "
                  "+10m (units ms, s, m, h, d)");
        return result;
    }

    void checkPlatform()
    {
        auto const needsPlatform = m_result.command != Command::Explain && m_result.command != Command::Route
            && (m_result.command != Command::Status || m_result.daemons.empty());
        if (needsPlatform && !m_values.contains("platform"))
            addFault(
                m_result.command == Command::Status ? "--platform or --daemon is required" : "--platform is required");
    }

    options::variables_map const& m_values;
    Core::WallTime m_now;
    Invocation m_result;
    std::string m_faults;
};

}

Core::Result<Invocation> parseInvocation(std::vector<std::string> const& arguments, Core::WallTime now)
{
    options::options_description all;
    all.add(visibleOptions()).add_options()("words", options::value<std::vector<std::string>>());
    options::positional_options_description positional;
    positional.add("words", -1);
    options::variables_map values;
    try {
        options::store(options::command_line_parser(arguments).options(all).positional(positional).run(), values);
    } catch (options::error const& error) {
        return usage(error.what());
    }
    return InvocationReader(values, now).read();
}

std::string usageText()
{
    std::ostringstream text;
    text << "comfreysail: changes and shows the settings and moves of the load balancer.\n"
            "\n"
            "  comfreysail apply FILE [--expect REVISION] [--change-id ID] [--wait [--timeout S]]\n"
            "  comfreysail show [--service S] [--department D] [--toml] [KEY]\n"
            "  comfreysail diff FILE\n"
            "  comfreysail status\n"
            "  comfreysail moves [list]\n"
            "  comfreysail moves declare ID --kind KIND --from A [--to B] [--service S] [--start T] --finish-by T\n"
            "  comfreysail moves pause|resume|take-back ID [--reason TEXT]\n"
            "  comfreysail explain REQUEST-ID [LOG...]\n"
            "  comfreysail route [--daemon HOST:PORT] [--key-file FILE|-] [--time-limit-ms N] [--json] METHOD URL\n"
            "\n"
         << visibleOptions()
         << "\nExit codes:\n"
            "  0  done\n"
            "  1  failed; nothing was changed, or the change is accepted but not yet in force on every daemon\n"
            "  2  usage error, or the settings or the move are not valid\n"
            "  3  conflict: another change was accepted first; nothing was changed\n"
            "  4  outcome unknown: send the change again with the same --change-id\n"
            "  5  route: the daemon cannot be reached\n"
            "  6  route: no route of the daemon's settings has the host of the URL\n";
    return text.str();
}

}
