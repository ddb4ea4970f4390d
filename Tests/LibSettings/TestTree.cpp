#include <LibSettings/Settings.h>
#include <Support/SettingsText.h>
#include <catch2/catch.hpp>

using namespace Comfreysail;
using namespace Comfreysail::Settings;
using Tests::settingsText;

namespace {

SettingsTreePointer treeOf(std::string const& toml)
{
    auto parsed = parseSettings(toml, "f.toml");
    REQUIRE(std::holds_alternative<SettingsTreePointer>(parsed));
    return std::get<SettingsTreePointer>(parsed);
}

struct EffectiveCase {
    SettingKey key;
    std::string service;
    std::string department;
    SettingValue value;
    std::string origin;
};

}

// A value from the wrong level would apply the limits of another department.
TEST_CASE("EffectiveValue_EachLevel_MostSpecificCounts")
{
    auto const tree = treeOf(settingsText());
    using Key = SettingKey;
    auto const example = GENERATE(values<EffectiveCase>({
        { Key::QueueLimit, "orders", "registry", int64_t { 1000 }, "built-in" },
        { Key::TimeoutMs, "orders", "", int64_t { 5000 }, "defaults" },
        { Key::TimeoutMs, "orders", "unknown", int64_t { 5000 }, "defaults" },
        { Key::TimeoutMs, "orders", "court", int64_t { 5000 }, "defaults" },
        { Key::TimeoutMs, "orders", "appeals", int64_t { 700 }, "departments.appeals" },
        { Key::TimeoutMs, "orders", "registry", int64_t { 700 }, "departments.appeals" },
        { Key::Weight, "orders", "", int64_t { 2 }, "services.orders" },
        { Key::Weight, "orders", "registry", int64_t { 5 }, "departments.court" },
        { Key::Weight, "", "registry", int64_t { 5 }, "departments.court" },
        { Key::Version, "orders", "court", "v1", "services.orders" },
        { Key::Version, "orders", "registry", "v2", "departments.appeals.services.orders" },
        { Key::OrdersWhenStoreDown, "orders", "court", "refuse", "built-in" },
    }));
    CAPTURE(settingKeyName(example.key), example.service, example.department);
    auto const effective = effectiveValue(*tree, example.key, example.service, example.department);
    CHECK(effective.value == example.value);
    CHECK(effective.origin.text() == example.origin);
}

TEST_CASE("EffectiveSettings_TypedValues_MatchKeys")
{
    auto const settings = effectiveSettings(*treeOf(settingsText()), "orders", "registry");
    CHECK(settings.timeout == std::chrono::milliseconds(700));
    CHECK(settings.weight == 5);
    CHECK(settings.queueTimeout == std::chrono::seconds(2));
    CHECK(settings.ordersWhenStoreDown == OrdersWhenStoreDown::Refuse);
    CHECK(settings.version == "v2");
}

// Without this rule, a service with a single version would have no version to send requests to.
TEST_CASE("EffectiveValue_SingleVersion_NeedsNoKey")
{
    auto text = settingsText();
    text.erase(text.find("[departments.appeals.services.orders]"));
    text.erase(text.find("[[services.orders.versions.v2"),
        text.find("[departments.court]") - text.find("[[services.orders.versions.v2"));
    text.replace(text.find("version = \"v1\""), 14, "");
    CHECK(effectiveSettings(*treeOf(text), "orders", "").version == "v1");
}

struct RouteCase {
    std::string method;
    std::string path;
    std::string route;
};

// A prefix that matches inside a segment would treat a lookup as an order.
TEST_CASE("RouteFor_MethodAndPath_LongestPrefixAtSegmentCounts")
{
    auto const tree = treeOf(settingsText());
    auto const example = GENERATE(values<RouteCase>({ { "POST", "/orders", "place" }, { "POST", "/orders/7", "place" },
        { "POST", "/orders?x=1", "place" }, { "POST", "/ordersheet", "all" }, { "GET", "/orders", "all" } }));
    CAPTURE(example.method, example.path);
    auto const* route = tree->service("orders")->routeFor(example.method, example.path);
    REQUIRE(route);
    CHECK(route->first == example.route);
}

// The operators' tool writes back settings that it has read; a lost value would silently change them.
TEST_CASE("Serialize_ParsedTree_GivesEqualTree")
{
    auto text = settingsText();
    for (size_t at = text.find("v2"); at != std::string::npos; at = text.find("v2", at + 4))
        text.replace(at, 2, text[at - 1] == '.' ? "\"v2.1\"" : "v2.1");
    auto const tree = treeOf(text);
    REQUIRE(tree->service("orders")->versions.contains("v2.1"));
    CHECK(*treeOf(serializeSettings(*tree)) == *tree);
}

TEST_CASE("Differences_ChangedAddedRemoved_AreListedByPath")
{
    auto text = settingsText(6000);
    text.replace(text.find("weight = 5"), 10, "");
    text.replace(text.find("port = 9002"), 11, "port = 9003");
    text += "[departments.new]\n";
    auto const found = differences(*treeOf(settingsText()), *treeOf(text));
    std::vector<Difference> const expected {
        { "defaults.timeout_ms", "5000", "6000" },
        { "departments.court.weight", "5", {} },
        { "departments.new", {}, "{}" },
        { "services.orders.versions.v2.targets.t2.port", "9002", "9003" },
    };
    CHECK(found == expected);
    CHECK(found[0].text() == "- defaults.timeout_ms = 5000\n+ defaults.timeout_ms = 6000");
    CHECK(differences(*treeOf(settingsText()), *treeOf(settingsText())).empty());
}

// A corrupted text from a peer must not come into force under a valid revision.
TEST_CASE("MakeSnapshot_TextWithOtherHash_IsRefused")
{
    auto const text = settingsText();
    CHECK_FALSE(Core::isError(makeSnapshot({ 1, "c", settingsHash(text) }, text)));
    auto const damaged = makeSnapshot({ 1, "c", settingsHash(text) }, settingsText(1));
    REQUIRE(Core::isError(damaged));
    CHECK(Core::errorOf(damaged).kind == Core::ErrorKind::InvalidSettings);
    CHECK(Core::isError(makeSnapshot({ 1, "c", settingsHash("x") }, "x")));
}
