#include "Commands.h"
#include "SettingsAccess.h"
#include <LibStore/ChangeMove.h>

namespace json = boost::json;

namespace Comfreysail::Tool {

namespace {

using Action = Invocation::MovesAction;
using Outcome = Store::MoveResult::Outcome;

std::string textOf(Store::MoveRow const& move)
{
    auto const orDash = [](std::string const& name) { return name.empty() ? std::string("-") : name; };
    auto text = move.id + " kind=" + std::string(Store::moveKindName(move.kind)) + " service=" + orDash(move.service)
        + " from=" + move.from + " to=" + orDash(move.to) + " start=" + timeText(move.start)
        + " finish_by=" + timeText(move.finishBy) + " state=" + std::string(Store::moveStateName(move.state));
    return move.reason.empty() ? text : text + " reason=\"" + move.reason + '"';
}

json::object jsonOf(Store::MoveRow const& move)
{
    return { { "id", move.id }, { "kind", Store::moveKindName(move.kind) }, { "service", move.service },
        { "from", move.from }, { "to", move.to }, { "start_ms", Core::toUnixMilliseconds(move.start) },
        { "finish_by_ms", Core::toUnixMilliseconds(move.finishBy) }, { "state", Store::moveStateName(move.state) },
        { "reason", move.reason }, { "change", move.changeId } };
}

Report listMoves(ToolContext const& context)
{
    auto const read = ToolContext::await<Store::MoveList>(
        [&](auto callback) { Store::readMoves(context.store(), context.callDeadline(), std::move(callback)); });
    if (Core::isError(read))
        return Report::ofError(Core::errorOf(read));
    Report report;
    json::array array;
    for (auto const& move : Core::valueOf(read).moves) {
        report.text += textOf(move) + '\n';
        array.emplace_back(jsonOf(move));
    }
    report.json["moves"] = std::move(array);
    for (auto const& error : Core::valueOf(read).unreadable) {
        report.code = ExitCode::Failed;
        report.problem += (report.problem.empty() ? "" : "\n") + error.detail;
    }
    return report;
}

Core::Result<Store::MoveRow> declaredMove(ToolContext const& context)
{
    auto const& invocation = context.invocation();
    Store::MoveRow move {
        .id = invocation.moveId,
        .kind = *Store::moveKindNamed(invocation.moveKind),
        .service = invocation.service,
        .from = invocation.from,
        .to = invocation.to,
        .start = *invocation.start,
        .finishBy = *invocation.finishBy,
        .reason = invocation.reason,
        .changeId = invocation.changeId,
    };
    auto faults = move.faults();
    if (faults.empty()) {
        auto const settings = readSettingsInForce(context);
        if (Core::isError(settings))
            return Core::errorOf(settings);
        faults = move.faultsAgainst(*Core::valueOf(settings).tree);
    }
    if (faults.empty())
        return move;
    Core::Error error { Core::ErrorKind::InvalidSettings, {} };
    for (auto const& fault : faults)
        error.detail += (error.detail.empty() ? "" : "\n") + fault;
    return error;
}

Store::MoveState stateAfter(Action action)
{
    switch (action) {
    case Action::Pause:
        return Store::MoveState::Paused;
    case Action::TakeBack:
        return Store::MoveState::TakenBack;
    default:
        return Store::MoveState::Declared;
    }
}

Core::Result<Store::MoveResult> sendChange(ToolContext const& context)
{
    auto const& invocation = context.invocation();
    if (invocation.movesAction == Action::Declare) {
        auto const move = declaredMove(context);
        if (Core::isError(move))
            return Core::errorOf(move);
        return ToolContext::await<Store::MoveResult>([&](auto callback) {
            Store::declareMove(context.store(), Core::valueOf(move), context.callDeadline(), std::move(callback));
        });
    }
    return ToolContext::await<Store::MoveResult>([&](auto callback) {
        Store::changeMove(context.store(),
            { invocation.moveId, stateAfter(invocation.movesAction), invocation.reason, invocation.changeId },
            context.callDeadline(), std::move(callback));
    });
}

}

Report runMoves(ToolContext const& context)
{
    auto const& invocation = context.invocation();
    if (invocation.movesAction == Action::List)
        return listMoves(context);
    auto const sent = sendChange(context);
    if (Core::isError(sent)) {
        auto report = Report::ofError(Core::errorOf(sent));
        if (report.code == ExitCode::OutcomeUnknown)
            report.problem += "\nsend it again with --change-id " + invocation.changeId;
        report.json["change"] = invocation.changeId;
        return report;
    }
    auto const& result = Core::valueOf(sent);
    Report report;
    report.text = textOf(result.row) + '\n';
    report.json["move"] = jsonOf(result.row);
    switch (result.outcome) {
    case Outcome::Changed:
        report.json["outcome"] = "changed";
        break;
    case Outcome::AlreadyThere:
        report.json["outcome"] = "already_there";
        break;
    case Outcome::Conflict:
        report.code = ExitCode::Conflict;
        report.json["outcome"] = "conflict";
        report.problem = "move " + result.row.id + " is in state " + std::string(Store::moveStateName(result.row.state))
            + " by change " + result.row.changeId + ", which does not allow this; nothing was changed";
        break;
    }
    return report;
}

}
