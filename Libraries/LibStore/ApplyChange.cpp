#include <LibSettings/Parse.h>
#include <LibStore/ApplyChange.h>
#include <LibStore/CallbackTask.h>
#include <LibStore/ChangeRow.h>
#include <LibStore/SettingsStore.h>

namespace Comfreysail::Store {

namespace {

// StorePort has no timer, so attempts follow each other without delay; to outlast an outage, the caller calls again.
constexpr int maxTransactionAttempts = 3;

CallbackAwaiter<std::optional<SettingsHead>> awaitHead(StorePort const& port, Core::Instant deadline)
{
    return CallbackAwaiter<std::optional<SettingsHead>>(
        [port, deadline](auto callback) { readSettingsHead(port, deadline, std::move(callback)); });
}

CallbackAwaiter<Settings::SettingsSnapshot> awaitSnapshot(
    StorePort const& port, SettingsHead head, Core::Instant deadline)
{
    return CallbackAwaiter<Settings::SettingsSnapshot>([port, head = std::move(head), deadline](auto callback) {
        readSettingsSnapshot(port, head, deadline, std::move(callback));
    });
}

CallbackAwaiter<Core::Empty> awaitPut(
    StorePort const& port, std::string name, std::string content, Core::Instant deadline)
{
    return CallbackAwaiter<Core::Empty>(
        [call = port.putObject, name = std::move(name), content = std::move(content), deadline](
            auto callback) { call(name, content, deadline, std::move(callback)); });
}

Core::Error notApplied(Core::Error const& cause)
{
    if (cause.kind == Core::ErrorKind::InvalidSettings)
        return cause;
    return { Core::ErrorKind::StoreUnavailable, "this call changed nothing: " + cause.detail };
}

Core::Error outcomeUnknown(Core::Error const& cause)
{
    return { Core::ErrorKind::StoreOutcomeUnknown, "the change may have been accepted: " + cause.detail };
}

/// The result according to the change's own row.
Core::Result<ApplyResult> resultFromChangeRow(std::string const& json, std::string const& hash, bool wasSentBefore)
{
    auto row = ChangeRow::fromJson(json);
    if (Core::isError(row))
        return Core::errorOf(row);
    auto const& revision = Core::valueOf(row).revision;
    if (revision.hash != hash)
        return ApplyResult { ApplyResult::Outcome::ChangeIdReused, revision, {} };
    auto const outcome = wasSentBefore ? ApplyResult::Outcome::Accepted : ApplyResult::Outcome::AlreadyAccepted;
    return ApplyResult { outcome, revision, {} };
}

/// Differences from the settings in `snapshot` to `own`; none if the snapshot could not be read.
std::vector<Settings::Difference> differencesFrom(
    Core::Result<Settings::SettingsSnapshot> const& snapshot, Settings::SettingsTree const& own)
{
    if (Core::isError(snapshot))
        return {};
    return Settings::differences(*Core::valueOf(snapshot).tree, own);
}

CallbackTask runApply(StorePort port, ApplyRequest request, Core::Instant deadline, Callback<ApplyResult> callback)
{
    auto parsed = Settings::parseSettings(request.toml, "settings");
    if (auto const* faults = std::get_if<Settings::SettingsFaults>(&parsed)) {
        callback(Settings::toError(*faults));
        co_return;
    }
    auto const tree = std::get<Settings::SettingsTreePointer>(parsed);
    auto const hash = Settings::settingsHash(request.toml);

    // The head is read before the change's own row: if that row is absent afterwards, no earlier send of this change
    // was accepted on top of this head or an older one, so a conflict with this head is final.
    auto const headResult = co_await awaitHead(port, deadline);
    if (Core::isError(headResult)) {
        callback(notApplied(Core::errorOf(headResult)));
        co_return;
    }
    auto const ownResult = co_await readRow(port, "changes", request.changeId, deadline);
    if (Core::isError(ownResult)) {
        callback(notApplied(Core::errorOf(ownResult)));
        co_return;
    }
    if (auto const& own = Core::valueOf(ownResult)) {
        callback(resultFromChangeRow(own->value, hash, false));
        co_return;
    }

    auto const& head = Core::valueOf(headResult);
    std::vector<Settings::Difference> changes;
    if (head) {
        auto const snapshot = co_await awaitSnapshot(port, *head, deadline);
        changes = differencesFrom(snapshot, *tree);
    } else {
        changes = Settings::differences({}, *tree);
    }
    auto const headRevision = head ? head->revision.revision : 0;
    if (request.expectedRevision && *request.expectedRevision != headRevision) {
        callback(ApplyResult { ApplyResult::Outcome::Conflict, head ? head->revision : Settings::SettingsRevision {},
            std::move(changes) });
        co_return;
    }

    SettingsHead next { { headRevision + 1, request.changeId, hash }, {}, {}, 0 };
    if (request.toml.size() > maxInlineSettingsBytes) {
        // Named by its hash, so that writing it again is harmless and no other text can overwrite it.
        next.objectName = "settings-" + hash;
        auto const put = co_await awaitPut(port, *next.objectName, request.toml, deadline);
        if (Core::isError(put)) {
            callback(notApplied(Core::errorOf(put)));
            co_return;
        }
    } else {
        next.toml = request.toml;
    }

    auto const expectedHead = static_cast<int64_t>(head ? head->rowVersion : 0);
    std::vector<Operation> const operations {
        { Operation::Kind::Put, "settings", "head", expectedHead, next.toJson() },
        { Operation::Kind::Put, "changes", request.changeId, absentVersion, ChangeRow { next.revision }.toJson() },
    };
    std::optional<Core::Error> lostResponse;
    for (int attempt = 0; attempt < maxTransactionAttempts; ++attempt) {
        auto const sent = co_await transact(port, operations, deadline);
        if (!Core::isError(sent)) {
            auto const& result = Core::valueOf(sent);
            if (result.isCommitted()) {
                callback(ApplyResult { ApplyResult::Outcome::Accepted, next.revision, std::move(changes) });
                co_return;
            }
            // The store reports all conflicts, so the change's own row is absent unless it is among them.
            for (auto const& conflict : result.conflicts) {
                if (conflict.index != 1)
                    continue;
                auto own = resultFromChangeRow(conflict.value, hash, lostResponse.has_value());
                if (auto* accepted = std::get_if<ApplyResult>(&own); accepted && accepted->isAccepted())
                    accepted->differences = std::move(changes);
                callback(std::move(own));
                co_return;
            }
            auto winningHead
                = SettingsHead::fromRow({ "head", result.conflicts[0].version, result.conflicts[0].value });
            if (Core::isError(winningHead)) {
                callback(Core::errorOf(winningHead));
                co_return;
            }
            auto const inForce = co_await awaitSnapshot(port, Core::valueOf(winningHead), deadline);
            callback(ApplyResult {
                ApplyResult::Outcome::Conflict, Core::valueOf(winningHead).revision, differencesFrom(inForce, *tree) });
            co_return;
        }
        if (Core::errorOf(sent).kind == Core::ErrorKind::StoreOutcomeUnknown)
            lostResponse = Core::errorOf(sent);
        if (!lostResponse) {
            callback(Core::errorOf(sent).kind == Core::ErrorKind::StoreUnavailable ? notApplied(Core::errorOf(sent))
                                                                                   : Core::errorOf(sent));
            co_return;
        }
        auto const own = co_await readRow(port, "changes", request.changeId, deadline);
        if (Core::isError(own))
            continue;
        if (auto const& row = Core::valueOf(own)) {
            auto decided = resultFromChangeRow(row->value, hash, true);
            if (auto* accepted = std::get_if<ApplyResult>(&decided); accepted && accepted->isAccepted())
                accepted->differences = std::move(changes);
            callback(std::move(decided));
            co_return;
        }
    }
    callback(outcomeUnknown(*lostResponse));
}

}

void applyChange(StorePort const& port, ApplyRequest request, Core::Instant deadline, Callback<ApplyResult> callback)
{
    runApply(port, std::move(request), deadline, std::move(callback));
}

}
