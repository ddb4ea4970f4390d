#include <catch2/catch.hpp>
#include <platform/Platform.h>

using namespace Comfreysail;
using namespace Comfreysail::Platform;
using namespace std::chrono_literals;

namespace {

struct DecodeFixture {
    std::string const plan = R"({"version":7,"routes":[
        {"name":"r1","host":"A.example","prefix":"/pay/","kind":"unsafe","timeout-s":1.5,"target-latency-s":0.4,
         "priority":1,"service":"orders","max-attempts":2},
        {"name":"r2","host":"a.example","prefix":"/files/","kind":"download","timeout-s":2,"split":[
         {"service":"records","weight":90},{"service":"orders","weight":10}]}],
        "services":[{"name":"orders","health-path":"/health","max-conns":220,"cold-per-s":4.8,"new-field":[]}],
        "limits":{"max-header-bytes":16384,"max-body-bytes":1000}})";
    std::string const target = R"({"service":"orders","addr":"10.0.0.9:8080","zone":"z1","version":"v1","slots":2,
        "state":"ready","cold-left-s":1.5,"sequence":4,"born":1700000000123})";

    static StoreRow row(std::string const& key, std::string const& value) { return { "", key, value, 9, "op" }; }

    std::string withTenants(std::string const& tenants) const
    {
        return replaced(plan, R"("services":)", R"("tenants":)" + tenants + R"(,"services":)");
    }

    static std::string replaced(std::string text, std::string const& part, std::string const& with)
    {
        auto const position = text.find(part);
        REQUIRE(position != std::string::npos);
        return text.replace(position, part.size(), with);
    }
};

}

TEST_CASE_METHOD(DecodeFixture, "DecodePlan_EveryField_IsDecoded")
{
    auto const decoded = decodePlan(row("config", plan));
    REQUIRE_FALSE(isError(decoded));
    auto const& value = valueOf(decoded);
    CHECK(value.revision == 7);
    REQUIRE(value.routes.size() == 2);
    CHECK(value.routes[0]
        == Traffic::RequestRoute { "r1", "a.example", "/pay/", Traffic::Idempotency::AtMostOnce, false, 1500ms, 400ms,
            2, 1, { { "orders", 1 } } });
    CHECK(value.routes[1].isDownload);
    CHECK(value.routes[1].idempotency == Traffic::Idempotency::Idempotent);
    CHECK(value.routes[1].shares == std::vector<Traffic::ServiceShare> { { "records", 90 }, { "orders", 10 } });
    CHECK(value.services.at("orders") == Traffic::ServicePlan { "/health", 220, 4.8 });
    CHECK(value.limits == Traffic::CallerLimits { 16384, 1000 });
}

// Requests of an unknown kind must not be retried: one that may run at most once could run twice.
TEST_CASE_METHOD(DecodeFixture, "DecodePlan_UnknownKind_RunsAtMostOnce")
{
    auto const decoded = decodePlan(row("config", replaced(plan, "unsafe", "keyed")));
    CHECK(valueOf(decoded).routes[0].idempotency == Traffic::Idempotency::AtMostOnce);
}

// Guards against adopting wrong values from a faulty row: the row is refused, and the error names the field.
TEST_CASE_METHOD(DecodeFixture, "DecodePlan_FaultyRow_IsRefusedWithTheField")
{
    auto const [part, with, fault] = GENERATE(table<std::string, std::string, std::string>({
        { R"("version":7)", R"("version":"7")", "version is not an integer" },
        { R"("routes":[)", R"("routes":{},"x":[)", "routes is not an array" },
        { R"("host":"A.example")", R"("host":4)", "host is not a string" },
        { R"("timeout-s":1.5)", R"("timeout-s":-1)", "timeout-s is not a number from 0 to 1e9" },
        { R"("timeout-s":1.5,)", "", "timeout-s is not there" },
        { R"("kind":"download")", R"("kind":"download","public":"yes")", "public is not a boolean" },
        { R"("weight":90)", R"("weight":"90")", "weight is not a number from 0 to 1e9" },
        { R"({"version")", R"([{"version")", "not a JSON object" },
    }));
    CAPTURE(part, with);
    auto const decoded = decodePlan(row("config", replaced(plan, part, with)));
    REQUIRE(isError(decoded));
    CHECK(errorOf(decoded).kind == Core::ErrorKind::MalformedMessage);
    CHECK(errorOf(decoded).detail == "config: " + fault);
}

// Guards against keys that are not known to the daemon, whose requests it would refuse, and against a private route
// that is taken for a public one.
TEST_CASE_METHOD(DecodeFixture, "DecodePlan_Departments_AreDecoded")
{
    auto const text = replaced(withTenants(R"([{"name":"kaje80","api-keys":["k1","k2"],"priority":0},
        {"name":"vopu11","api-keys":[]},{"name":"besa02","api-keys":["k3"],"new-field":1}])"),
        R"("kind":"download")", R"("kind":"download","public":true)");
    auto const decoded = decodePlan(row("config", text));
    REQUIRE_FALSE(isError(decoded));
    auto const& value = valueOf(decoded);
    CHECK_FALSE(value.routes[0].isPublic);
    CHECK(value.routes[1].isPublic);
    REQUIRE(value.keys);
    CHECK(value.keys->departments()
        == std::vector<Access::Department> { { "kaje80", 0 }, { "vopu11", {} }, { "besa02", {} } });
    CHECK(value.keys->keyCount() == 3);
    CHECK(value.keys->find("k2") == &value.keys->departments()[0]);
    CHECK(value.keys->find("k3") == &value.keys->departments()[2]);
    CHECK(value.keys->find("k4") == nullptr);
}

// Without the list no request needs a key; with an empty one every request does.
TEST_CASE_METHOD(DecodeFixture, "DecodePlan_NoOrEmptyListOfDepartments_AreDifferent")
{
    CHECK_FALSE(valueOf(decodePlan(row("config", plan))).keys);
    auto const empty = decodePlan(row("config", withTenants("[]")));
    REQUIRE_FALSE(isError(empty));
    REQUIRE(valueOf(empty).keys);
    CHECK(valueOf(empty).keys->keyCount() == 0);
}

// Guards against a plan that gives access to the wrong department or to everybody, and against a key in the log: the
// text of the fault is logged.
TEST_CASE_METHOD(DecodeFixture, "DecodePlan_FaultyDepartments_AreRefusedWithoutShowingAKey")
{
    auto const [tenants, fault] = GENERATE(table<std::string, std::string>({
        { R"({})", "tenants is not an array" },
        { R"(null)", "tenants is not an array" },
        { R"(["sEcReT"])", "not a JSON object" },
        { R"([{"api-keys":["sEcReT"]}])", "name is not there" },
        { R"([{"name":7,"api-keys":["sEcReT"]}])", "name is not a string" },
        { R"([{"name":"a"}])", "api-keys is not there" },
        { R"([{"name":"a","api-keys":"sEcReT"}])", "api-keys is not an array" },
        { R"([{"name":"a","api-keys":["sEcReT",8]}])", "api-keys is not an array of strings" },
        { R"([{"name":"a","api-keys":["sEcReT"],"priority":-1}])", "priority is not an integer from 0 to 1e6" },
        { R"([{"name":"a","api-keys":["sEcReT"],"priority":4294967296}])", "priority is not an integer from 0 to 1e6" },
        { R"([{"name":"a","api-keys":["sEcReT"],"priority":"1"}])", "priority is not an integer" },
        { R"([{"name":"a","api-keys":["sEcReT",""]}])",
            "tenants is not valid: a key of department a is not of 1 to 256 visible ASCII characters" },
        { R"([{"name":"a","api-keys":["sEcReT"]},{"name":"b","api-keys":["sEcReT"]}])",
            "tenants is not valid: departments a and b share a key" },
        { R"([{"name":"a","api-keys":["sEcReT"]},{"name":"a","api-keys":[]}])",
            "tenants is not valid: two departments have the name a" },
    }));
    CAPTURE(tenants);
    auto const decoded = decodePlan(row("config", withTenants(tenants)));
    REQUIRE(isError(decoded));
    CHECK(errorOf(decoded).kind == Core::ErrorKind::MalformedMessage);
    CHECK(errorOf(decoded).detail == "config: " + fault);
}

TEST_CASE_METHOD(DecodeFixture, "DecodeTarget_EveryField_IsDecoded")
{
    auto const decoded = decodeTarget(row("i-1", target));
    REQUIRE_FALSE(isError(decoded));
    CHECK(valueOf(decoded)
        == Traffic::RegisteredTarget { "i-1", "orders", "10.0.0.9", 8080, "z1", "v1", 2,
            Traffic::RegistrationState::Ready, 1500ms, 1700000000123, 4 });
    auto const draining = decodeTarget(row("i-1", replaced(target, R"("ready")", R"("draining")")));
    CHECK(valueOf(draining).state == Traffic::RegistrationState::Draining);
}

// Guards against using a target with an invalid row: its requests would go to a wrong address, or to a target in an
// unknown state.
TEST_CASE_METHOD(DecodeFixture, "DecodeTarget_FaultyRow_IsRefused")
{
    auto const [part, with] = GENERATE(table<std::string, std::string>({
        { R"("state":"ready")", R"("state":"sleeping")" },
        { R"("state":"ready",)", "" },
        { R"("addr":"10.0.0.9:8080")", R"("addr":"10.0.0.9")" },
        { R"("addr":"10.0.0.9:8080")", R"("addr":"10.0.0.9:99999")" },
        { R"("addr":"10.0.0.9:8080")", R"("addr":"no-address:8080")" },
        { R"("slots":2)", R"("slots":"2")" },
        { R"("slots":2)", R"("slots":4294967296)" },
        { R"("born":1700000000123)", R"("born":1e300)" },
        { R"("zone":"z1")", R"("zone":null)" },
        { R"("born":1700000000123)", R"("born":"x")" },
        { R"("sequence":4)", R"("sequence":"4")" },
        { "{", "\xff" },
    }));
    CAPTURE(part, with);
    CHECK(isError(decodeTarget(row("i-1", replaced(target, part, with)))));
}

// Guards against an id that splits the request: it is sent in a header field.
TEST_CASE_METHOD(DecodeFixture, "DecodeTarget_IdThatFitsNoHeaderField_IsRefused")
{
    auto const id = GENERATE(values<std::string>({ "", "i\r\nX: 1", "i 1", "i\t1", "i\x7f", "\xc3\xa4" }));
    CAPTURE(id);
    CHECK(isError(decodeTarget(row(id, target))));
}

TEST_CASE_METHOD(DecodeFixture, "MoveResult_EncodedAndDecoded_IsTheSame")
{
    auto const state
        = GENERATE(Traffic::MoveState::Running, Traffic::MoveState::Completed, Traffic::MoveState::RolledBack);
    auto const text = encodeMoveResult({ "orders", "v2", state, 0 });
    auto const decoded = decodeMoveResult(row("rollout/orders", text));
    CHECK(valueOf(decoded) == Traffic::MoveResult { "orders", "v2", state, 9 });
    auto const move = decodeMove(row("rollout/orders", R"({"service":"orders","to":"v2","duration-s":12})"));
    CHECK(valueOf(move) == Traffic::VersionMove { "orders", "v2", 12s, 9 });
}

TEST_CASE("Base64_AnyBytes_AreRestored")
{
    for (size_t length = 0; length < 20; ++length) {
        std::string bytes;
        for (size_t index = 0; index < length; ++index)
            bytes.push_back(static_cast<char>(index * 37));
        CHECK(valueOf(decodeBase64(encodeBase64(bytes))) == bytes);
    }
    for (auto const* faulty : { "a$b=", "ab=c", "=====" })
        CHECK(isError(decodeBase64(faulty)));
}

// One row with an undecodable value must not make the other rows of the page unreadable.
TEST_CASE("DecodeRowPage_ValueThatIsNotBase64_KeepsTheOtherRows")
{
    auto const page = decodeRowPage(R"({"rows":[
        {"table":"servers","part":"","key":"a","value":"%%%","resource-version":1},
        {"table":"servers","part":"","key":"b","value":"dg==","resource-version":2}],
        "has-more":true,"resource-version":5,"now-s":1.5})");
    REQUIRE_FALSE(isError(page));
    CHECK(valueOf(page)
        == RowPage { { { "", "a", "", 1, "servers" }, { "", "b", "v", 2, "servers" } }, true, 5, 1500ms });
}
