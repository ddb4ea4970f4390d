#include <Support/SettingsText.h>
#include <Support/Waiting.h>
#include <catch2/catch.hpp>

using namespace Comfreysail;
using namespace Comfreysail::Store;
using Tests::apply;
using Tests::settingsText;
using Fault = MemoryStore::Fault;
using Outcome = ApplyResult::Outcome;

namespace {

std::optional<SettingsHead> headOf(MemoryStore const& store)
{
    auto const row = store.row("settings", "head");
    if (!row)
        return {};
    auto const head = SettingsHead::fromRow(*row);
    REQUIRE_FALSE(Core::isError(head));
    return Core::valueOf(head);
}

Outcome outcomeOf(Core::Result<ApplyResult> const& result)
{
    if (Core::isError(result))
        FAIL(Core::errorName(Core::errorOf(result).kind) << ": " << Core::errorOf(result).detail);
    return Core::valueOf(result).outcome;
}

/// A text larger than maxInlineSettingsBytes.
std::string largeText(int timeout) { return settingsText(timeout) + std::string(maxInlineSettingsBytes, '#'); }

}

TEST_CASE("ApplyChange_FirstAndNext_RaiseTheRevision")
{
    MemoryStore store;
    auto const first = apply(store.port(), { "c1", settingsText(1), {} });
    CHECK(outcomeOf(first) == Outcome::Accepted);
    CHECK(Core::valueOf(first).revision.revision == 1);
    auto const second = apply(store.port(), { "c2", settingsText(2), 1 });
    CHECK(outcomeOf(second) == Outcome::Accepted);
    CHECK(Core::valueOf(second).revision
        == Settings::SettingsRevision { 2, "c2", Settings::settingsHash(settingsText(2)) });
    CHECK(
        Core::valueOf(second).differences == std::vector<Settings::Difference> { { "defaults.timeout_ms", "1", "2" } });
    CHECK(headOf(store)->toml == settingsText(2));
}

TEST_CASE("ApplyChange_InvalidText_WritesNothing")
{
    MemoryStore store;
    auto const result = apply(store.port(), { "c1", "[defaults]\nweight = 0\nx = 1\n", {} });
    REQUIRE(Core::isError(result));
    CHECK(Core::errorOf(result).kind == Core::ErrorKind::InvalidSettings);
    CHECK_THAT(
        Core::errorOf(result).detail, Catch::Matchers::Contains("weight") && Catch::Matchers::Contains("defaults.x"));
    CHECK(store.callCount() == 0);
}

// Sending a change twice must not create two revisions, even if another change was accepted in between.
TEST_CASE("ApplyChange_SameChangeAgain_IsAlreadyAccepted")
{
    MemoryStore store;
    apply(store.port(), { "c1", settingsText(1), 0 });
    CHECK(outcomeOf(apply(store.port(), { "c1", settingsText(1), 0 })) == Outcome::AlreadyAccepted);
    apply(store.port(), { "c2", settingsText(2), {} });
    auto const again = apply(store.port(), { "c1", settingsText(1), {} });
    CHECK(outcomeOf(again) == Outcome::AlreadyAccepted);
    CHECK(Core::valueOf(again).revision.revision == 1);
    CHECK(outcomeOf(apply(store.port(), { "c1", settingsText(3), {} })) == Outcome::ChangeIdReused);
    CHECK(headOf(store)->revision.revision == 2);
}

// An operator must be told which change won and must not overwrite it.
TEST_CASE("ApplyChange_OtherRevisionInForce_IsAConflictWithTheWinner")
{
    MemoryStore store;
    apply(store.port(), { "c1", settingsText(1), {} });
    apply(store.port(), { "c2", settingsText(2), 1 });
    for (auto expected : { 0, 1, 3 }) {
        auto const lost = apply(store.port(), { "c3", settingsText(3), expected });
        CHECK(outcomeOf(lost) == Outcome::Conflict);
        CHECK(Core::valueOf(lost).revision.changeId == "c2");
        CHECK(Core::valueOf(lost).differences
            == std::vector<Settings::Difference> { { "defaults.timeout_ms", "2", "3" } });
    }
    CHECK(headOf(store)->revision.changeId == "c2");
}

// If two operators start from the same revision, one of their transactions must fail.
TEST_CASE("ApplyChange_OtherChangeBetweenReadAndWrite_IsAConflict")
{
    MemoryStore store;
    apply(store.port(), { "c1", settingsText(1), {} });
    auto port = store.port();
    port.transact = [&store](auto operations, auto deadline, auto callback) {
        if (operations[1].key == "c3")
            apply(store.port(), { "c2", settingsText(2), {} });
        store.port().transact(operations, deadline, callback);
    };
    auto const lost = apply(port, { "c3", settingsText(3), {} });
    CHECK(outcomeOf(lost) == Outcome::Conflict);
    CHECK(Core::valueOf(lost).revision.changeId == "c2");
    CHECK(headOf(store)->revision.revision == 2);
    CHECK_FALSE(store.row("changes", "c3"));
}

struct StepCase {
    std::string step;
    size_t callsBefore; ///< Calls that succeed before the fault.
    Fault fault;
    Core::ErrorKind kind; ///< Reported while the fault lasts.
    bool wasApplied;      ///< True if the change took effect despite the error.
};

// The store may fail at any step of a change. The reported error must be correct, and sending the change again must
// apply it exactly once.
TEST_CASE("ApplyChange_StoreFailsFromAStepOn_ReportsTruthAndCanBeRepeated")
{
    constexpr auto none = Core::ErrorKind::StoreUnavailable;
    constexpr auto unknown = Core::ErrorKind::StoreOutcomeUnknown;
    // Steps of a large text: read head, read own row, read the object in force, put the object, transact.
    auto const example = GENERATE_COPY(values<StepCase>({ { "head", 0, Fault::Unavailable, none, false },
        { "own row", 1, Fault::Unavailable, none, false }, { "object put", 3, Fault::Unavailable, none, false },
        { "object put lost", 3, Fault::LoseResponse, none, false }, { "transact", 4, Fault::Unavailable, none, false },
        { "transact lost", 4, Fault::LoseResponse, unknown, true },
        { "transact late", 4, Fault::DelayWrite, unknown, false } }));
    CAPTURE(example.step);
    MemoryStore store;
    apply(store.port(), { "c1", largeText(1), {} });
    std::vector<Fault> faults(example.callsBefore, Fault::None);
    store.failNext(std::move(faults));
    store.setFault(example.fault);
    ApplyRequest const request { "c2", largeText(2), 1 };
    auto const failed = apply(store.port(), request);
    REQUIRE(Core::isError(failed));
    CHECK(Core::errorOf(failed).kind == example.kind);
    CHECK(headOf(store)->revision.revision == (example.wasApplied ? 2 : 1));
    store.setFault(Fault::None);

    SECTION("sent again")
    {
        CHECK(outcomeOf(apply(store.port(), request))
            == (example.wasApplied ? Outcome::AlreadyAccepted : Outcome::Accepted));
        store.performDelayedWrites();
    }
    SECTION("the late write comes first")
    {
        store.performDelayedWrites();
        CHECK(Core::valueOf(apply(store.port(), request)).isAccepted());
    }
    CHECK(headOf(store)->revision == Settings::SettingsRevision { 2, "c2", Settings::settingsHash(largeText(2)) });
}

// applyChange() must resolve a lost response by itself, also if the read after it fails once.
TEST_CASE("ApplyChange_OneLostResponse_IsResolvedByTheOwnRow")
{
    auto const fault = GENERATE(Fault::LoseResponse, Fault::DelayWrite);
    auto const isReadLost = GENERATE(false, true);
    MemoryStore store;
    store.failNext({ Fault::None, Fault::None, fault, isReadLost ? Fault::Unavailable : Fault::None });
    auto const result = apply(store.port(), { "c1", settingsText(), {} });
    CHECK(outcomeOf(result) == Outcome::Accepted);
    CHECK_FALSE(Core::valueOf(result).differences.empty());
    store.performDelayedWrites();
    CHECK(headOf(store)->revision.revision == 1);
}

// A delayed write must not take effect after the operator was told that another change won.
TEST_CASE("ApplyChange_LateWriteAfterOtherChange_StaysWithoutEffect")
{
    MemoryStore store;
    apply(store.port(), { "c1", settingsText(1), {} });
    store.failNext({ Fault::None, Fault::None });
    store.setFault(Fault::DelayWrite);
    CHECK(Core::isError(apply(store.port(), { "c2", settingsText(2), 1 })));
    store.setFault(Fault::None);
    apply(store.port(), { "c3", settingsText(3), 1 });
    CHECK(outcomeOf(apply(store.port(), { "c2", settingsText(2), 1 })) == Outcome::Conflict);
    store.performDelayedWrites();
    CHECK(headOf(store)->revision.changeId == "c3");
    CHECK_FALSE(store.row("changes", "c2"));
}

TEST_CASE("ApplyChange_LargeText_IsAnObjectNamedByItsHash")
{
    MemoryStore store;
    REQUIRE(outcomeOf(apply(store.port(), { "c1", largeText(1), {} })) == Outcome::Accepted);
    auto const head = *headOf(store);
    CHECK_FALSE(head.toml);
    CHECK(head.objectName == "settings-" + Settings::settingsHash(largeText(1)));
    CHECK(store.row("settings", "head")->value.size() < 1024);
    auto const read = [&] {
        return Tests::await<Settings::SettingsSnapshot>(
            [&](auto callback) { readSettingsSnapshot(store.port(), head, Tests::inSeconds(5), std::move(callback)); });
    };
    CHECK(Core::valueOf(read()).toml == largeText(1));

    // A corrupted object must not come into force.
    store.putObject(*head.objectName, largeText(9));
    REQUIRE(Core::isError(read()));
    CHECK(Core::errorOf(read()).kind == Core::ErrorKind::InvalidSettings);
}

TEST_CASE("SettingsHead_DamagedRow_IsAnErrorThatNamesIt")
{
    auto const json = GENERATE(as<std::string>(), "", "[]", "{}", R"({"revision":0,"change":"c","hash":"h","toml":""})",
        R"({"revision":1,"change":"c","hash":"h"})", R"({"revision":1,"change":"c","toml":""})");
    CAPTURE(json);
    auto const head = SettingsHead::fromRow({ "head", 4, json });
    REQUIRE(Core::isError(head));
    CHECK_THAT(Core::errorOf(head).detail, Catch::Matchers::StartsWith("row settings/head"));
}
