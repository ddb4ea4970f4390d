#include "Commands.h"

#include <LibTelemetry/EventText.h>
#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <map>

namespace Comfreysail::Tool {

namespace {

using Telemetry::EventText;

/// Events that change a daemon's state. The last event of each kind before a log line was in effect at that line.
constexpr std::array<std::string_view, 8> stateEvents { "started", "settings_adopted", "zones_out", "move_ordered",
    "move_ended", "store_lost", "store_reached", "signal" };

struct LogLine {
    EventText text;
    std::string daemon;
    size_t number { 0 }; ///< Position after sorting by time; lines of the same time stay in the order of reading.
};

void readLines(std::istream& stream, std::string const& name, std::vector<LogLine>& lines)
{
    std::string line;
    std::string daemon = name;
    while (std::getline(stream, line)) {
        auto text = Telemetry::parseEventLine(line);
        if (!text)
            continue;
        // A daemon's own log has its name in the field vm_name of the event "started". A log collector's file has the
        // name of a line's daemon before the line.
        if (auto const vmName = text->field("vm_name"))
            daemon = *vmName;
        auto source = text->source.empty() ? daemon : text->source;
        lines.push_back({ std::move(*text), std::move(source), lines.size() });
    }
}

std::string fieldsText(EventText const& text)
{
    std::string result = text.event;
    for (auto const& [key, value] : text.fields) {
        if (key != "request_id")
            result += " " + key + "=" + (value.empty() ? "\"\"" : value);
    }
    return result;
}

std::string lineText(LogLine const& line, std::string_view indent)
{
    return std::string(indent) + line.text.time + " " + line.daemon + " " + fieldsText(line.text) + "\n";
}

/// Returns the state events of the step's daemon that were in effect at the step: the last one of each kind and service
/// or table, in log order.
std::vector<LogLine const*> stateEventsBefore(std::vector<LogLine> const& lines, LogLine const& step)
{
    std::map<std::string, LogLine const*> latest;
    for (auto const& line : lines) {
        if (&line == &step)
            break;
        if (line.daemon != step.daemon || std::ranges::find(stateEvents, line.text.event) == stateEvents.end())
            continue;
        if (line.text.event == "started")
            latest.clear(); // A daemon keeps no state across a restart.
        auto const topic = line.text.event.starts_with("store_")
            ? "store " + std::string(line.text.field("table").value_or(""))
            : line.text.event + " " + std::string(line.text.field("service").value_or(""));
        latest[topic] = &line;
    }
    std::vector<LogLine const*> result;
    for (auto const& [topic, line] : latest)
        result.push_back(line);
    std::ranges::sort(result, {}, [](LogLine const* line) { return line->number; });
    return result;
}

}

Report runExplain(Invocation const& invocation)
{
    std::vector<LogLine> lines;
    for (auto const& file : invocation.logFiles) {
        std::ifstream stream(file);
        if (!stream)
            return Report::ofError({ Core::ErrorKind::MalformedRequest, "cannot read " + file });
        readLines(stream, file, lines);
    }
    if (invocation.logFiles.empty())
        readLines(std::cin, "standard input", lines);
    std::ranges::stable_sort(lines, {}, [](LogLine const& line) { return line.text.time; });
    for (size_t number = 0; number < lines.size(); ++number)
        lines[number].number = number;

    Report report;
    boost::json::array steps;
    std::string lastDaemon;
    for (auto const& line : lines) {
        if (line.text.field("request_id") != std::string_view(invocation.requestId))
            continue;
        if (line.daemon != lastDaemon) {
            report.text += "believed by " + line.daemon + ":\n";
            for (auto const* event : stateEventsBefore(lines, line))
                report.text += lineText(*event, "    ");
            report.text += "steps:\n";
            lastDaemon = line.daemon;
        }
        report.text += lineText(line, "  ");
        steps.emplace_back(boost::json::object {
            { "time", line.text.time }, { "daemon", line.daemon }, { "step", fieldsText(line.text) } });
    }
    if (steps.empty()) {
        report.code = ExitCode::Failed;
        report.problem = "no line has the request id " + invocation.requestId;
    }
    report.json["steps"] = std::move(steps);
    return report;
}

}
