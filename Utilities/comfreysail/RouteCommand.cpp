#include "Commands.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
#include <cstdint>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace json = boost::json;

namespace Comfreysail::Tool {

namespace {

// Longer than any key that a daemon accepts, so that it can say that the key is too long.
constexpr size_t maxKeyLineBytes = 4096;
constexpr unsigned statusOk = 200;
constexpr unsigned statusBadRequest = 400;

/// Reads the first line of the key file. Errors name the file and never show what it holds.
Core::Result<std::string> readKey(std::string const& file)
{
    auto const fault = [&](std::string const& detail) {
        return Core::Error { Core::ErrorKind::InvalidSettings, detail };
    };
    std::ifstream opened;
    if (file != "-")
        opened.open(file);
    auto& stream = file == "-" ? std::cin : static_cast<std::istream&>(opened);
    std::string key;
    if (!std::getline(stream, key))
        return fault("cannot read a key from " + (file == "-" ? std::string("standard input") : file));
    if (key.ends_with('\r'))
        key.pop_back();
    auto const isControl = [](char character) { return static_cast<unsigned char>(character) < ' '; };
    if (key.empty() || key.size() > maxKeyLineBytes || std::ranges::any_of(key, isControl))
        return fault("--key-file must have the key in its first line");
    return key;
}

std::string questionPath(Invocation const& invocation)
{
    auto const encoded
        = [](std::string const& value) { return boost::urls::encode(value, boost::urls::unreserved_chars); };
    auto path = "/explain-route?method=" + encoded(invocation.method) + "&host=" + encoded(invocation.host)
        + "&path=" + encoded(invocation.path);
    if (invocation.timeLimit)
        path += "&time-limit-ms=" + std::to_string(Core::toMilliseconds(*invocation.timeLimit));
    return path;
}

/// Reads members of an explanation. A member that is missing or of another type reads as empty, so that the tool also
/// shows explanations of other versions of the daemon.
class Members {
public:
    explicit Members(json::value const* value)
        : m_object(value ? value->if_object() : nullptr)
    {
    }
    explicit Members(json::object const& object)
        : m_object(&object)
    {
    }

    bool isPresent() const { return m_object != nullptr; }
    json::value const* find(std::string_view name) const { return m_object ? m_object->if_contains(name) : nullptr; }
    Members inner(std::string_view name) const { return Members(find(name)); }

    bool isTrue(std::string_view name) const
    {
        auto const* const value = find(name);
        return value && value->is_bool() && value->get_bool();
    }

    /// The member as text; "-" for null or none.
    std::string text(std::string_view name) const
    {
        auto const* const value = find(name);
        if (!value || value->is_null())
            return "-";
        if (value->is_string())
            return std::string(value->get_string());
        if (value->is_double()) {
            std::ostringstream stream;
            stream << std::setprecision(3) << value->get_double();
            return stream.str();
        }
        return json::serialize(*value);
    }

    std::vector<Members> list(std::string_view name) const
    {
        std::vector<Members> result;
        auto const* const value = find(name);
        if (!value || !value->is_array())
            return result;
        for (auto const& element : value->get_array())
            result.emplace_back(&element);
        return result;
    }

    std::string texts(std::string_view name) const
    {
        std::string result;
        auto const* const value = find(name);
        if (!value || !value->is_array())
            return "-";
        for (auto const& element : value->get_array())
            result += (result.empty() ? "" : ", ") + (element.is_string() ? std::string(element.get_string()) : "?");
        return result.empty() ? "none" : result;
    }

private:
    json::object const* m_object;
};

using Row = std::array<std::string, 9>;

std::string tableText(std::vector<Row> const& rows)
{
    std::array<size_t, std::tuple_size_v<Row>> widths {};
    for (auto const& row : rows) {
        for (size_t column = 0; column < row.size(); ++column)
            widths.at(column) = std::max(widths.at(column), row.at(column).size());
    }
    std::string result;
    for (auto const& row : rows) {
        std::string line = "  ";
        for (size_t column = 0; column < row.size(); ++column)
            line += row.at(column) + std::string(widths.at(column) - row.at(column).size() + 2, ' ');
        line.erase(line.find_last_not_of(' ') + 1);
        result += line + '\n';
    }
    return result;
}

std::string loadText(Members const& load)
{
    if (!load.isPresent())
        return "-";
    return load.text("running") + "+" + load.text("waiting") + "/" + load.text("slots") + " x" + load.text("slowness");
}

Row targetRow(Members const& target, std::string const& best)
{
    auto const load = target.inner("load");
    auto const id = target.text("id");
    auto const leftOut = target.text("left_out");
    auto const until = target.text("left_out_for_ms");
    auto note = leftOut == "-" ? std::string(id == best ? "best" : "usable") : "left out: " + leftOut;
    if (until != "-")
        note += " for " + until + " ms";
    if (auto const said = target.text("said_ms_ago"); said != "-")
        note += ", said " + said + " ms ago";
    return { id, target.text("zone"), target.text("version"), loadText(load), load.text("age_ms"),
        load.text("sent_since"), target.text("cost"), target.isTrue("in_subset") ? "yes" : "no", note };
}

std::string selectionText(std::string const& selection)
{
    if (selection == "probes")
        return "a request first probes some targets and uses the one with the lowest cost then";
    if (selection == "two_random")
        return "targets report no load: of two random ones the one with fewer requests";
    if (selection == "cold_target")
        return "all targets are cold: one whose rate allows a request";
    return selection;
}

std::string serviceText(Members const& service)
{
    auto text
        = "\nservice " + service.text("service") + " (share " + service.text("share") + "): " + service.text("outcome");
    if (service.text("reason") != "-")
        text += ", " + service.text("reason");
    text += "\n  selection: " + selectionText(service.text("selection"));
    auto const best = service.text("best_target");
    text += "\n  best by present knowledge: " + best + " (cost " + service.text("best_cost") + ")\n";
    auto const capacity = service.inner("capacity");
    text += "  capacity: ";
    text += !capacity.isPresent()
        ? "not known yet"
        : std::string(capacity.isTrue("short") ? "short for " + capacity.text("short_for_ms") + " ms" : "ample")
            + ", share with room " + capacity.text("share_with_room") + ", reports " + capacity.text("reports");
    auto const shortage = service.inner("shortage");
    text += "\n  under shortage: ";
    text += !shortage.isPresent() ? "ranks do not matter for this request"
                                  : shortage.text("decision") + ", sent part " + shortage.text("sent_part");
    text += "\n  retries left: " + service.text("retry_tokens") + ", versions allowed: "
        + (service.texts("allowed_versions") == "none" ? "any" : service.texts("allowed_versions"))
        + ", first target back in ms: " + service.text("first_return_ms")
        + ", subset: " + (service.isTrue("uses_subset") ? "yes" : "all targets") + '\n';
    std::vector<Row> rows { { "target", "zone", "version", "load", "age_ms", "sent", "cost", "subset", "use" } };
    for (auto const& target : service.list("targets"))
        rows.push_back(targetRow(target, best));
    return text + tableText(rows) + "  targets of other services: " + service.text("targets_of_other_services") + '\n';
}

std::string explanationText(Members const& explanation)
{
    auto const settings = explanation.inner("settings");
    auto const route = explanation.inner("route");
    auto const refusal = explanation.inner("refusal");
    auto const key = explanation.inner("key");
    auto text = explanation.text("method") + ' ' + explanation.text("host") + explanation.text("path") + ": "
        + explanation.text("outcome");
    if (refusal.isPresent())
        text += " with " + refusal.text("status") + ' ' + refusal.text("error");
    if (explanation.text("reason") != "-")
        text += ", " + explanation.text("reason");
    text += "\ndaemon " + explanation.text("daemon") + " in zone " + explanation.text("zone") + ", settings revision "
        + settings.text("revision") + ", rows read " + settings.text("rows_age_ms") + " ms ago"
        + (settings.isTrue("waits_for_fresh_rows") ? ", requests wait for fresh rows" : "")
        + "\nzones out of service: " + explanation.texts("zones_out") + '\n';
    if (!route.isPresent())
        return text;
    text += "route " + route.text("name") + " (prefix " + route.text("prefix") + ", priority " + route.text("priority")
        + ", timeout " + route.text("timeout_ms") + " ms, latency target " + route.text("latency_target_ms") + " ms"
        + (route.isTrue("download") ? ", download" : "") + (route.isTrue("public") ? ", public" : "") + ")\n";
    text += "key " + std::string(key.isTrue("needed") ? "needed" : "not needed") + ", " + key.text("state")
        + "; department " + explanation.text("department") + ", rank " + explanation.text("rank") + '\n';
    for (auto const& service : explanation.list("services"))
        text += serviceText(service);
    return text;
}

Report problem(ExitCode code, std::string detail)
{
    Report report;
    report.code = code;
    report.problem = std::move(detail);
    return report;
}

}

Report runRoute(ToolContext const& context)
{
    auto const& invocation = context.invocation();
    std::string authorization;
    if (!invocation.keyFile.empty()) {
        auto const key = readKey(invocation.keyFile);
        if (Core::isError(key))
            return problem(ExitCode::Usage, Core::errorOf(key).detail);
        authorization = "Token " + Core::valueOf(key);
    }
    auto const& daemon = invocation.daemons.front();
    auto const answer = context.readFromDaemon(daemon, questionPath(invocation), authorization, context.callDeadline());
    if (Core::isError(answer))
        return problem(ExitCode::DaemonUnreachable, Core::errorOf(answer).detail);
    auto const& [status, body, fields] = Core::valueOf(answer);
    json::error_code code;
    auto const value = json::parse(body, code);
    if (status == statusBadRequest)
        return problem(ExitCode::Usage, "the daemon refused the question: " + body.substr(0, body.find('\n')));
    if (status != statusOk || code || !value.is_object())
        return problem(ExitCode::Failed, "the daemon at " + daemon.text() + " does not explain routes");
    Members const explanation(&value);
    Report report;
    report.json = value.get_object();
    // Without settings no host is known, and the explanation says that the settings are missing.
    if (explanation.inner("settings").text("revision") != "-" && !explanation.isTrue("host_known")) {
        report.code = ExitCode::UnknownHost;
        report.problem = "no route has the host " + explanation.text("host");
        return report;
    }
    report.text = explanationText(explanation);
    return report;
}

}
