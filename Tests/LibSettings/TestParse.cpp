#include <LibSettings/Settings.h>
#include <Support/SettingsText.h>
#include <algorithm>
#include <catch2/catch.hpp>

using namespace Comfreysail;
using namespace Comfreysail::Settings;
using Tests::settingsText;

namespace {

struct FaultCase {
    std::string name;
    std::string from; ///< Replaced once in the valid text; empty: `to` is appended.
    std::string to;
    std::string key;  ///< Where the fault must be reported.
    std::string part; ///< Must be part of the problem.
};

SettingsFaults faultsOf(std::string const& toml)
{
    auto const parsed = parseSettings(toml, "f.toml");
    auto const* faults = std::get_if<SettingsFaults>(&parsed);
    return faults ? *faults : SettingsFaults();
}

}

TEST_CASE("Parse_ValidText_GivesEveryPart")
{
    auto const parsed = parseSettings(settingsText(), "f.toml");
    REQUIRE(std::holds_alternative<SettingsTreePointer>(parsed));
    auto const& tree = *std::get<SettingsTreePointer>(parsed);
    CHECK(*tree.serviceOfHost("orders.example") == "orders");
    CHECK(tree.serviceOfHost("other.example") == nullptr);
    auto const& orders = *tree.service("orders");
    CHECK(orders.versions.at("v2").targets == std::vector<Target> { { "t2", "127.0.0.1", 9002, "arima", 4 } });
    CHECK(orders.versions.at("v1").targets[0].slots == 2);
    CHECK(tree.isZoneIn("pos-hall"));
    CHECK_FALSE(tree.isZoneIn("arima"));
    CHECK_FALSE(tree.isZoneIn("undeclared"));
    CHECK(tree.department("registry")->parent == "appeals");
}

// An undetected fault would be accepted and distributed to every daemon.
TEST_CASE("Parse_OneFault_IsReportedAtItsKey")
{
    auto const example = GENERATE(values<FaultCase>({
        { "syntax", "[defaults]", "[defaults", "", "not valid TOML" },
        { "integer below range", "timeout_ms = 5000", "timeout_ms = 0", "defaults.timeout_ms", "from 1 to 86400000" },
        { "integer above range", "weight = 2", "weight = 1001", "services.orders.weight", "from 1 to 1000" },
        { "integer of other type", "weight = 5", "weight = 5.5", "departments.court.weight", "floating-point" },
        { "retries above the budget", "weight = 2", "retry_percent = 21", "services.orders.retry_percent", "0 to 20" },
        { "choice", "weight = 2", "orders_when_store_down = \"run\"", "services.orders.orders_when_store_down",
            "\"refuse\", \"target_deduplicates\"" },
        { "unknown key", "weight = 5", "wieght = 5", "departments.court.wieght", "weight" },
        { "unknown root table", "", "[service.x]\n", "service", "not a known key" },
        { "zone state", "state = \"in\"", "state = \"on\"", "availability_zones.pos-hall.state", "\"in\", \"out\"" },
        { "zone without region", "region = \"tt-judicial\"", "", "availability_zones.pos-hall.region", "required" },
        { "host with port", "orders.example", "orders.example:80", "services.orders.hosts", "without a port" },
        { "hosts missing", "hosts = [\"orders.example\"]", "", "services.orders.hosts", "required" },
        { "host listed twice", "[\"orders.example\"]", "[\"a\", \"a\"]", "services.orders.hosts", "already listed" },
        { "route class", "class = \"order\"", "class = \"orders\"", "services.orders.routes.place.class", "\"order\"" },
        { "route method", "\"POST\"", "\"post\"", "services.orders.routes.place.method", "POST" },
        { "route path", "\"/orders\"", "\"orders\"", "services.orders.routes.place.path_prefix", "starts with" },
        { "route without idempotent", "idempotent = false", "", "services.orders.routes.place.idempotent", "required" },
        { "routes with one prefix", "",
            "[services.orders.routes.z]\npath_prefix = \"/\"\nclass = \"lookup\"\nidempotent = "
            "true\n",
            "services.orders.routes.z.path_prefix", "route all" },
        { "target address", "address = \"127.0.0.1\"", "address = \"localhost\"",
            "services.orders.versions.v1.targets[0].address", "IPv4 or IPv6" },
        { "target port", "port = 9001", "port = 65536", "services.orders.versions.v1.targets[0].port", "1 to 65535" },
        { "target without zone", "availability_zone = \"arima\"", "",
            "services.orders.versions.v2.targets[0].availability_zone", "required" },
        { "target in undeclared zone", "availability_zone = \"arima\"", "availability_zone = \"tunapuna\"",
            "services.orders.versions.v2.targets[0].availability_zone", "not declared" },
        { "target slots", "slots = 4", "slots = 0", "services.orders.versions.v2.targets[0].slots", "1 to 10000" },
        { "target name twice", "name = \"t2\"", "name = \"t1\"", "services.orders.versions.v2.targets[0].name",
            "another target" },
        { "target address twice", "port = 9002", "port = 9001", "services.orders.versions.v2.targets[0].port",
            "another target" },
        { "parent missing", "parent = \"court\"", "parent = \"none\"", "departments.appeals.parent", "does not exist" },
        { "parent of itself", "parent = \"court\"", "parent = \"appeals\"", "departments.appeals.parent", "cycle" },
        { "department with unknown service", "", "[departments.registry.services.x]\n",
            "departments.registry.services.x", "does not exist" },
        { "version unknown", "version = \"v1\"", "version = \"v3\"", "services.orders.version", "v1, v2" },
        { "version of department unknown", "version = \"v2\"", "version = \"v3\"",
            "departments.appeals.services.orders.version", "v1, v2" },
        { "version of defaults unknown", "[defaults]", "[defaults]\nversion = \"v3\"", "defaults.version", "orders" },
        { "version missing", "version = \"v1\"", "", "services.orders.version", "required" },
        { "invalid name", "", "[departments.Court]\n", "departments.Court", "a-z" },
        { "table expected", "", "[departments]\nx = 1\n", "departments.x", "must be a table" },
    }));
    CAPTURE(example.name);
    auto text = settingsText();
    if (example.from.empty())
        text += example.to;
    else
        text.replace(text.find(example.from), example.from.size(), example.to);
    auto const faults = faultsOf(text);
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].key == example.key);
    CHECK(faults[0].file == "f.toml");
    CHECK(faults[0].line > 0);
    CHECK_THAT(faults[0].problem, Catch::Matchers::Contains(example.part));
}

// Operators should not have to correct one fault and send the settings again to see the next.
TEST_CASE("Parse_ManyFaults_AreReportedAtOnceInLineOrder")
{
    auto const faults = faultsOf("[departments.a]\nparent = \"b\"\n[departments.b]\nparent = \"a\"\n"
                                 "[defaults]\ntimeout_ms = 0\nweight = 0\n");
    REQUIRE(faults.size() == 4);
    CHECK(std::ranges::is_sorted(faults, {}, &SettingsFault::line));
    CHECK(faults[0].line == 2);
    CHECK_THAT(faults[1].problem, Catch::Matchers::Contains("b -> a -> b"));
    CHECK(
        faults[2].text() == "f.toml:6: defaults.timeout_ms: must be a whole number from 1 to 86400000 (ms), but is 0");
}

// A department whose ancestors form a cycle is not at fault itself, and following its parents must terminate.
TEST_CASE("Parse_CycleAboveDepartment_IsReportedOnlyForItsMembers")
{
    auto const faults = faultsOf("[departments.a]\nparent = \"b\"\n[departments.b]\nparent = \"c\"\n"
                                 "[departments.c]\nparent = \"b\"\n");
    REQUIRE(faults.size() == 2);
    CHECK(faults[0].key == "departments.b.parent");
    CHECK(faults[1].key == "departments.c.parent");
}

// A wrong file, such as a disk image, must not fill the memory of every daemon.
TEST_CASE("Parse_TextAboveLimit_IsRefused")
{
    auto const faults = faultsOf(std::string(4 * 1024 * 1024 + 1, '#'));
    REQUIRE(faults.size() == 1);
    CHECK_THAT(faults[0].problem, Catch::Matchers::Contains("4194304"));
}

TEST_CASE("CheckedDocument_MissingFile_IsAFault")
{
    auto const document = CheckedDocument::fromFile("/nonexistent/daemon.toml");
    CHECK_FALSE(document.isParsed());
    REQUIRE(document.faults().size() == 1);
    CHECK_THAT(document.faults()[0].text(), Catch::Matchers::Contains("No such file"));
}
