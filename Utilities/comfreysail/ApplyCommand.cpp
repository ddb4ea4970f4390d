#include "Commands.h"
#include "Daemons.h"
#include "SettingsAccess.h"
#include <LibStore/ApplyChange.h>
#include <LibStore/SettingsHead.h>
#include <LibStore/SettingsStore.h>
#include <algorithm>

namespace json = boost::json;

namespace Comfreysail::Tool {

namespace {

using Outcome = Store::ApplyResult::Outcome;

constexpr Core::Duration pushTimeout = std::chrono::seconds(1);
constexpr Core::Duration statusTimeout = std::chrono::seconds(1);

int64_t millisecondsSince(Core::Instant start)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Core::monotonicNow() - start).count();
}

/// Sends the change and retries until its outcome is known or the command's deadline has passed.
Core::Result<Store::ApplyResult> sendChange(ToolContext const& context, Store::ApplyRequest request)
{
    std::optional<Core::Error> unknownOutcome;
    while (true) {
        Core::Error latest;
        // All attempts use the same base revision. If another operator's change is accepted during the retries, the
        // result must be a conflict; reading the base again would overwrite that change.
        if (!request.expectedRevision) {
            auto const head = ToolContext::await<std::optional<Store::SettingsHead>>([&](auto callback) {
                Store::readSettingsHead(context.store(), context.callDeadline(), std::move(callback));
            });
            if (Core::isError(head))
                latest = Core::errorOf(head);
            else
                request.expectedRevision = Core::valueOf(head) ? Core::valueOf(head)->revision.revision : 0;
        }
        if (request.expectedRevision) {
            auto result = ToolContext::await<Store::ApplyResult>([&](auto callback) {
                Store::applyChange(context.store(), request, context.callDeadline(), std::move(callback));
            });
            if (!Core::isError(result))
                return result;
            latest = Core::errorOf(result);
        }
        if (latest.kind == Core::ErrorKind::StoreOutcomeUnknown)
            unknownOutcome = latest;
        auto const canRetry
            = latest.kind == Core::ErrorKind::StoreOutcomeUnknown || latest.kind == Core::ErrorKind::StoreUnavailable;
        if (!canRetry || !waitForRetry(context.deadline()))
            return unknownOutcome ? *unknownOutcome : latest;
    }
}

/// Pushes the revision to every daemon, so that daemons that cannot reach the store get it too. Returns the number of
/// daemons that accepted it.
size_t pushToDaemons(ToolContext const& context, std::vector<DaemonStatus> const& daemons,
    Settings::SettingsRevision const& revision, std::string const& toml)
{
    std::vector<HostPort> addresses;
    for (auto const& daemon : daemons)
        addresses.push_back(daemon.address);
    auto const body = Store::SettingsHead { revision, toml, {}, 0 }.toJson();
    auto const answers = context.callDaemons(
        addresses, ToolContext::Method::Post, "/settings", body, Core::monotonicNow() + pushTimeout);
    return static_cast<size_t>(
        std::ranges::count_if(answers, [](auto const& answer) { return !Core::isError(answer); }));
}

/// Polls the daemons until all have the revision or a later one, or the deadline has passed. Returns the daemons that
/// do not have it.
std::vector<DaemonStatus> waitUntilInForce(
    ToolContext const& context, std::vector<DaemonStatus> daemons, uint64_t revision, Core::Instant deadline)
{
    while (true) {
        readStatus(context, daemons, std::min(deadline, Core::monotonicNow() + statusTimeout));
        std::erase_if(daemons, [&](auto const& daemon) { return !daemon.error && daemon.revision >= revision; });
        if (daemons.empty() || !waitForRetry(deadline))
            return daemons;
    }
}

std::string laggingText(DaemonStatus const& daemon)
{
    if (daemon.error)
        return daemon.name + " (" + daemon.error->detail + ')';
    return daemon.name + " (revision " + std::to_string(daemon.revision) + ')';
}

void reportWait(Report& report, size_t count, std::vector<DaemonStatus> const& lagging)
{
    auto const inForce = std::to_string(count - lagging.size()) + " of " + std::to_string(count);
    report.text += "in force on " + inForce + " daemons\n";
    report.json["daemons"] = count;
    report.json["in_force"] = count - lagging.size();
    json::array names;
    std::string problem;
    for (auto const& daemon : lagging) {
        names.emplace_back(daemon.name);
        problem += (problem.empty() ? "not yet in force on: " : ", ") + laggingText(daemon);
    }
    report.json["lagging"] = std::move(names);
    if (count == 0)
        problem = "no daemons are known; name them with --daemon or in the platform's VM list";
    if (!problem.empty()) {
        report.code = ExitCode::Failed;
        report.problem = std::move(problem);
    }
}

Report reportConflict(Store::ApplyResult const& result, std::string const& changeId)
{
    Report report { ExitCode::Conflict, {}, {}, {} };
    auto const acceptedChange
        = "revision " + std::to_string(result.revision.revision) + " of change " + result.revision.changeId;
    if (result.outcome == Outcome::ChangeIdReused) {
        report.problem = "change id " + changeId + " was used before for other settings (" + acceptedChange
            + "); nothing was changed";
        report.json["outcome"] = "change_id_reused";
    } else if (result.revision.revision == 0) {
        report.problem = "no settings are in force yet, so the expected revision does not exist; nothing was changed";
        report.json["outcome"] = "conflict";
    } else {
        report.problem = acceptedChange
            + " is in force, which is not the expected one; nothing was changed. "
              "The differences show what the file would change in the settings in force";
        report.json["outcome"] = "conflict";
    }
    report.text = differencesText(result.differences);
    report.json["revision"] = result.revision.revision;
    report.json["change"] = result.revision.changeId;
    report.json["differences"] = differencesJson(result.differences);
    return report;
}

}

Report runApply(ToolContext const& context)
{
    auto const& invocation = context.invocation();
    auto const file = readSettingsFile(invocation.file);
    if (Core::isError(file))
        return Report::ofError(Core::errorOf(file));
    auto const& toml = Core::valueOf(file).toml;
    auto const start = Core::monotonicNow();
    auto const sent = sendChange(context, { invocation.changeId, toml, invocation.expectedRevision });
    if (Core::isError(sent)) {
        auto report = Report::ofError(Core::errorOf(sent));
        if (report.code == ExitCode::OutcomeUnknown)
            report.problem += "\nsend it again with --change-id " + invocation.changeId;
        report.json["change"] = invocation.changeId;
        return report;
    }
    auto const& result = Core::valueOf(sent);
    if (!result.isAccepted())
        return reportConflict(result, invocation.changeId);

    Report report;
    auto const isRepeated = result.outcome == Outcome::AlreadyAccepted;
    report.text = std::string(isRepeated ? "already accepted" : "accepted") + ": revision "
        + std::to_string(result.revision.revision) + ", change " + result.revision.changeId + '\n'
        + differencesText(result.differences);
    report.json["outcome"] = isRepeated ? "already_accepted" : "accepted";
    report.json["revision"] = result.revision.revision;
    report.json["change"] = result.revision.changeId;
    report.json["hash"] = result.revision.hash;
    report.json["differences"] = differencesJson(result.differences);
    report.json["accepted_ms"] = millisecondsSince(start);

    auto const acceptedAt = Core::monotonicNow();
    auto const daemons = listDaemons(context);
    if (Core::isError(daemons)) {
        report.problem = "accepted, but the daemons are not known: " + Core::errorOf(daemons).detail;
        if (invocation.wait)
            report.code = ExitCode::Failed;
        return report;
    }
    auto const& list = Core::valueOf(daemons);
    report.json["pushed"] = pushToDaemons(context, list, result.revision, toml);
    if (invocation.wait) {
        auto const lagging = waitUntilInForce(context, list, result.revision.revision, acceptedAt + invocation.timeout);
        report.json["in_force_ms"] = millisecondsSince(acceptedAt);
        reportWait(report, list.size(), lagging);
    }
    return report;
}

}
