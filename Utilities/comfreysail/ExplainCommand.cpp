#include "Commands.h"

#include <LibTelemetry/EventText.h>
#include <algorithm>
#include <array>
#include <cmath>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <iostream>
#include <map>

namespace Comfreysail::Tool {

namespace {

using Telemetry::EventText;

/// Events that change a daemon's state. The last event of each kind before a log line was in effect at that line.
constexpr std::array<std::string_view, 8> stateEvents { "started", "settings_adopted", "zones_out", "move_ordered",
    "move_ended", "store_lost", "store_reached", "signal" };

/// What targets said of themselves. The last event of each kind for a target was in effect until it expired.
constexpr std::array<std::string_view, 3> targetEvents { "target_leaving", "target_not_before", "target_limit" };
// Of more targets, those that said something last are shown.
constexpr size_t maxTargetEvents = 20;
// The return of a target's load takes at most this long after its time, see TargetPause.
constexpr double maxReturnMilliseconds = 3750;
constexpr double maxLimitAgeMilliseconds = 300'000;

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

/// Returns the time between two log lines, or std::nullopt if one of them has no time.
std::optional<double> millisecondsBetween(LogLine const& earlier, LogLine const& later)
{
    auto const parse = [](std::string const& text) -> std::optional<double> {
        std::tm fields {};
        auto const* const end = strptime(text.c_str(), "%Y%m%d %H:%M:%S", &fields);
        if (!end)
            return std::nullopt;
        double const fraction = *end == '.' ? std::strtod(end, nullptr) : 0;
        return (static_cast<double>(timegm(&fields)) + fraction) * 1000;
    };
    auto const from = parse(earlier.text.time);
    auto const to = parse(later.text.time);
    return from && to ? std::optional(*to - *from) : std::nullopt;
}

double numberOf(LogLine const& line, std::string_view field)
{
    return std::strtod(std::string(line.text.field(field).value_or("0")).c_str(), nullptr);
}

/// Returns true if what the target said may have excluded it this long afterwards.
bool isInEffect(LogLine const& statement, double ageMilliseconds)
{
    if (statement.text.event == "target_not_before")
        return ageMilliseconds < numberOf(statement, "ms") + maxReturnMilliseconds;
    if (statement.text.event == "target_limit")
        return numberOf(statement, "requests_per_second") >= 0 && ageMilliseconds < maxLimitAgeMilliseconds;
    return true;
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

/// Returns what targets had said to the step's daemon and was in effect at the step, with its age, in log order.
std::string statementsBefore(std::vector<LogLine> const& lines, LogLine const& step)
{
    std::map<std::string, LogLine const*> latest;
    for (auto const& line : lines) {
        if (&line == &step)
            break;
        if (line.daemon != step.daemon)
            continue;
        if (line.text.event == "started")
            latest.clear();
        if (std::ranges::find(targetEvents, line.text.event) != targetEvents.end())
            latest[line.text.event + " " + std::string(line.text.field("target").value_or(""))] = &line;
    }
    std::vector<std::pair<LogLine const*, double>> inEffect;
    for (auto const& [topic, line] : latest) {
        auto const age = millisecondsBetween(*line, step);
        if (age && isInEffect(*line, *age))
            inEffect.emplace_back(line, *age);
    }
    std::ranges::sort(inEffect, {}, [](auto const& item) { return item.first->number; });
    if (inEffect.size() > maxTargetEvents)
        inEffect.erase(inEffect.begin(), inEffect.end() - maxTargetEvents);
    std::string text;
    for (auto const& [line, age] : inEffect) {
        text += lineText(*line, "    ");
        text.insert(text.size() - 1, " (said " + std::to_string(std::llround(age)) + " ms before)");
    }
    return text;
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
            report.text += statementsBefore(lines, line);
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
