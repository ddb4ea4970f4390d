#include <LibStore/CallbackTask.h>
#include <LibStore/ChangeMove.h>

namespace Comfreysail::Store {

namespace {

// An attempt is repeated if another change of the row took effect first, and after a lost response.
constexpr int maxAttempts = 5;

bool hasSameDefinition(MoveRow const& first, MoveRow const& second)
{
    return first.kind == second.kind && first.service == second.service && first.from == second.from
        && first.to == second.to && first.start == second.start && first.finishBy == second.finishBy;
}

Core::Error storeError(std::optional<Core::Error> const& lostResponse, Core::Error const& latest)
{
    if (lostResponse)
        return { Core::ErrorKind::StoreOutcomeUnknown, "the change may have taken effect: " + lostResponse->detail };
    return latest;
}

/// The result of a declaration whose row already exists.
Core::Result<MoveResult> resultOfDeclaration(MoveRow const& wanted, Row const& present, bool wasResponseLost)
{
    auto parsed = MoveRow::fromRow(present);
    if (Core::isError(parsed))
        return Core::errorOf(parsed);
    auto row = Core::takeValue(std::move(parsed));
    auto outcome = MoveResult::Outcome::Conflict;
    if (row.changeId == wanted.changeId && wasResponseLost)
        outcome = MoveResult::Outcome::Changed;
    else if (row.changeId == wanted.changeId || hasSameDefinition(row, wanted))
        outcome = MoveResult::Outcome::AlreadyThere;
    return MoveResult { outcome, std::move(row) };
}

CallbackTask runDeclare(StorePort port, MoveRow move, Core::Instant deadline, Callback<MoveResult> callback)
{
    if (auto const faults = move.faults(); !faults.empty()) {
        Core::Error error { Core::ErrorKind::InvalidSettings, {} };
        for (auto const& fault : faults)
            error.detail += (error.detail.empty() ? "" : "\n") + fault;
        callback(std::move(error));
        co_return;
    }
    std::vector<Operation> const operations {
        { Operation::Kind::Put, std::string(movesTable), move.id, absentVersion, move.toJson() },
    };
    std::optional<Core::Error> lostResponse;
    Core::Error latest;
    // The insert requires the row to be absent, so sending it again after a lost response is harmless.
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        auto const sent = co_await transact(port, operations, deadline);
        if (!Core::isError(sent)) {
            auto const& result = Core::valueOf(sent);
            if (result.isCommitted()) {
                move.rowVersion = result.versions.at(0);
                callback(MoveResult { MoveResult::Outcome::Changed, std::move(move) });
            } else {
                auto const& conflict = result.conflicts[0];
                Row const present { move.id, conflict.version, conflict.value };
                callback(resultOfDeclaration(move, present, lostResponse.has_value()));
            }
            co_return;
        }
        latest = Core::errorOf(sent);
        if (latest.kind == Core::ErrorKind::StoreOutcomeUnknown)
            lostResponse = latest;
        if (!lostResponse)
            break;
        auto const read = co_await readRow(port, std::string(movesTable), move.id, deadline);
        if (Core::isError(read) || !Core::valueOf(read))
            continue;
        callback(resultOfDeclaration(move, *Core::valueOf(read), true));
        co_return;
    }
    callback(storeError(lostResponse, latest));
}

CallbackTask runChange(StorePort port, MoveChange change, Core::Instant deadline, Callback<MoveResult> callback)
{
    std::optional<Core::Error> lostResponse;
    uint64_t versionOfLostWrite = 0;
    Core::Error latest { Core::ErrorKind::RevisionConflict,
        "move " + change.id + " is changed by others all the time" };
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        auto const read = co_await readRow(port, std::string(movesTable), change.id, deadline);
        if (Core::isError(read)) {
            latest = Core::errorOf(read);
            if (!lostResponse)
                break;
            continue;
        }
        auto const& present = Core::valueOf(read);
        if (!present) {
            callback(Core::Error { Core::ErrorKind::RowNotFound, "move " + change.id + " does not exist" });
            co_return;
        }
        auto parsed = MoveRow::fromRow(*present);
        if (Core::isError(parsed)) {
            callback(Core::errorOf(parsed));
            co_return;
        }
        auto move = Core::takeValue(std::move(parsed));
        if (move.state == change.state) {
            auto const isOwn = lostResponse && move.changeId == change.changeId;
            auto const outcome = isOwn ? MoveResult::Outcome::Changed : MoveResult::Outcome::AlreadyThere;
            callback(MoveResult { outcome, std::move(move) });
            co_return;
        }
        // After a lost response, a newer row may have replaced this change's own write, which must not be repeated.
        auto const mayHaveReplacedOwnWrite = lostResponse && move.rowVersion != versionOfLostWrite;
        if (mayHaveReplacedOwnWrite || !isAllowedTransition(move.state, change.state)) {
            callback(MoveResult { MoveResult::Outcome::Conflict, std::move(move) });
            co_return;
        }
        auto const expected = move.rowVersion;
        move.state = change.state;
        move.reason = change.reason;
        move.changeId = change.changeId;
        std::vector<Operation> const operations {
            { Operation::Kind::Put, std::string(movesTable), change.id, static_cast<int64_t>(expected), move.toJson() },
        };
        auto const sent = co_await transact(port, operations, deadline);
        if (Core::isError(sent)) {
            latest = Core::errorOf(sent);
            if (latest.kind == Core::ErrorKind::StoreOutcomeUnknown) {
                lostResponse = latest;
                versionOfLostWrite = expected;
            }
            if (!lostResponse)
                break;
            continue;
        }
        if (Core::valueOf(sent).isCommitted()) {
            move.rowVersion = Core::valueOf(sent).versions.at(0);
            callback(MoveResult { MoveResult::Outcome::Changed, std::move(move) });
            co_return;
        }
    }
    callback(storeError(lostResponse, latest));
}

}

void readMoves(StorePort const& port, Core::Instant deadline, Callback<MoveList> callback)
{
    port.scan(std::string(movesTable), "", deadline, [callback = std::move(callback)](auto result) {
        if (Core::isError(result))
            return callback(Core::errorOf(result));
        MoveList list;
        for (auto const& row : Core::valueOf(result)) {
            auto move = MoveRow::fromRow(row);
            if (Core::isError(move))
                list.unreadable.push_back(Core::errorOf(move));
            else
                list.moves.push_back(Core::takeValue(std::move(move)));
        }
        callback(std::move(list));
    });
}

void declareMove(StorePort const& port, MoveRow move, Core::Instant deadline, Callback<MoveResult> callback)
{
    runDeclare(port, std::move(move), deadline, std::move(callback));
}

void changeMove(StorePort const& port, MoveChange change, Core::Instant deadline, Callback<MoveResult> callback)
{
    runChange(port, std::move(change), deadline, std::move(callback));
}

}
