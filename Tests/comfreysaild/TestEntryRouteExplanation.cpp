#include "EntryFixture.h"

#include <algorithm>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <set>
#include <thread>

namespace json = boost::json;

using namespace Comfreysail::Tests;
using namespace std::chrono_literals;

namespace {

std::string const validKey = "key-of-kaje";

std::string splitRoute(std::string const& name, std::string const& prefix, unsigned ordersWeight)
{
    auto text = routeText(name, prefix, "safe");
    std::string const service = R"("service":"orders")";
    return text.replace(text.find(service), service.size(),
        R"("split":[{"service":"orders","weight":)" + std::to_string(ordersWeight)
            + R"(},{"service":"archive","weight":1}])");
}

/// A platform with departments, a public route, a split route, and targets that name themselves and the department in
/// their responses.
struct ExplanationFixture : EntryFixture {
    ExplanationFixture() { writeSettings(2); }

    void writeSettings(int version)
    {
        auto publicRoute = routeText("public", "/public/", "safe");
        publicRoute.insert(publicRoute.size() - 1, R"(,"public":true)");
        auto urgent = routeText("urgent", "/urgent/", "safe");
        urgent.replace(urgent.find(R"("priority":1)"), 12, R"("priority":0)");
        writeOperatorRow("config",
            R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routeText("read", "/read/", "safe") + ","
                + routeText("pay", "/pay/", "unsafe") + "," + routeText("files", "/files/", "download") + ","
                + publicRoute + "," + urgent + "," + splitRoute("both", "/both/", 3)
                + R"(],"services":[{"name":"orders","health-path":"/health","max-conns":220},
                {"name":"archive","health-path":"/health","max-conns":220}],
                "limits":{"max-header-bytes":16384,"max-body-bytes":1000000},
                "tenants":[{"name":"kaje80","api-keys":[")"
                + validKey + R"("],"priority":2}]})");
    }

    EntryTarget& addNamedTarget(std::string const& id)
    {
        return addTarget(id, [id](RawConnection& connection, std::string const& head) {
            std::string const field = "X-Comfreysail-Tenant: ";
            auto const begin = head.find(field);
            auto const department = begin == std::string::npos
                ? std::string()
                : head.substr(begin + field.size(), head.find("\r\n", begin) - begin - field.size());
            return connection.send(signedResponse(head, id + " " + department));
        });
    }

    void registerAs(EntryTarget const& target, std::string const& service, std::string const& zone = "pos-hall",
        std::string const& state = "ready")
    {
        writeRegistryRow(target.id,
            R"({"service":")" + service + R"(","addr":"127.0.0.1:)" + std::to_string(target.server->port())
                + R"(","zone":")" + zone + R"(","version":"v1","slots":2,"state":")" + state
                + R"(","cold-left-s":0,"sequence":2,"born":1})");
    }

    static std::string authorizationOf(std::string const& key)
    {
        return key.empty() ? std::string() : "Authorization: Token " + key + "\r\n";
    }

    RawResponse ask(std::string const& query, std::string const& key = {})
    {
        auto connection = RawConnection::connectTo(daemon().adminPort());
        connection.send("GET /explain-route" + query + " HTTP/1.1\r\nHost: admin\r\n" + authorizationOf(key) + "\r\n");
        return connection.readResponse();
    }

    json::object explain(std::string const& method, std::string const& path, std::string const& key = {},
        std::string const& host = "orders.test")
    {
        auto const response = ask("?method=" + method + "&host=" + host + "&path=" + path + "&time-limit-ms=2000", key);
        REQUIRE(response.status() == 200);
        return json::parse(response.body).as_object();
    }

    RawResponse send(
        std::string const& method, std::string const& path, std::string const& key, std::string const& host)
    {
        auto text = requestText(method, path, "id" + std::to_string(++m_sent));
        text.replace(text.find("orders.test"), std::string("orders.test").size(), host);
        auto connection = daemon().connect();
        connection.send(text.insert(text.find("\r\n") + 2, authorizationOf(key)));
        return connection.readResponse();
    }

    std::string metrics()
    {
        // The age of the rows changes by itself.
        std::istringstream lines(daemon().admin("/metrics").body);
        std::string result;
        for (std::string line; std::getline(lines, line);) {
            if (line.find("rows_age") == std::string::npos)
                result += line + "\n";
        }
        return result;
    }

private:
    unsigned m_sent { 0 };
};

json::object const* targetOf(json::object const& explanation, std::string const& id)
{
    for (auto const& service : explanation.at("services").as_array()) {
        for (auto const& target : service.at("targets").as_array()) {
            if (target.at("id") == json::value(id))
                return &target.as_object();
        }
    }
    return nullptr;
}

std::string leftOut(json::object const& explanation, std::string const& id)
{
    auto const* const target = targetOf(explanation, id);
    if (!target)
        return "not listed";
    auto const& reason = target->at("left_out");
    return reason.is_null() ? "" : std::string(reason.as_string());
}

/// True if the response is what the explanation said.
bool agrees(json::object const& explanation, RawResponse const& response)
{
    if (explanation.at("outcome") == "refused") {
        auto const& refusal = explanation.at("refusal").as_object();
        return response.status() == refusal.at("status").to_number<unsigned>()
            && json::value(response.field("Comfreysail-Error")) == refusal.at("error");
    }
    auto const blank = response.body.find(' ');
    if (explanation.at("outcome") != "sent" || response.status() != 200 || blank == std::string::npos)
        return false;
    auto const& department = explanation.at("department");
    auto const expected = department.is_null() ? std::string() : std::string(department.as_string());
    auto const id = response.body.substr(0, blank);
    return targetOf(explanation, id) && leftOut(explanation, id).empty() && response.body.substr(blank + 1) == expected;
}

}

// Guards against an explanation that does not say what the daemon does: in calm, at least 99 of 100 requests end as the
// command has said right before.
TEST_CASE_METHOD(ExplanationFixture, "EntryRouteExplanation_RequestsRightAfterIt_EndAsItSaid")
{
    constexpr unsigned requests = 100;
    constexpr unsigned minAgreeing = 99;
    addNamedTarget("t1");
    addNamedTarget("t2");
    auto& leaving = addNamedTarget("leaving");
    registerAs(leaving, "orders", "pos-hall", "draining");
    auto& otherZone = addNamedTarget("zone-out");
    registerAs(otherZone, "orders", "arima");
    auto& archive = addNamedTarget("archive-1");
    registerAs(archive, "archive");
    writeOperatorRow("evacuate/arima", "{}");
    StopAtScopeEnd const stop(*this);
    startDaemon();
    struct Case {
        std::string method;
        std::string path;
        std::string key;
        std::string host;
        std::string outcome;
    };
    std::vector<Case> const cases {
        { "GET", "/read/1", validKey, "orders.test", "sent" },
        { "POST", "/pay/1", validKey, "orders.test", "sent" },
        { "GET", "/files/1", validKey, "orders.test", "sent" },
        { "GET", "/both/1", validKey, "ORDERS.test:80", "sent" },
        { "GET", "/public/1", "", "orders.test", "sent" },
        { "GET", "/public/1", "unknown-key", "orders.test", "sent" },
        { "GET", "/read/1", "", "orders.test", "refused" },
        { "GET", "/read/1", "unknown-key", "orders.test", "refused" },
        { "GET", "/other/1", validKey, "orders.test", "refused" },
        { "GET", "/read/1", validKey, "other.test", "refused" },
    };
    unsigned agreeing = 0;
    std::set<std::string> responders;
    for (unsigned index = 0; index < requests; ++index) {
        auto const& [method, path, key, host, outcome] = cases.at(index % cases.size());
        auto const explanation = explain(method, path, key, host);
        auto const response = send(method, path, key, host);
        bool const isAsSaid = agrees(explanation, response);
        agreeing += isAsSaid ? 1 : 0;
        CAPTURE(json::serialize(explanation), response.head, response.body);
        CHECK(explanation.at("outcome") == json::value(outcome));
        if (!isAsSaid)
            UNSCOPED_INFO("differs: " << json::serialize(explanation) << " " << response.head << response.body);
        responders.insert(response.body.substr(0, response.body.find(' ')));
    }
    CHECK(agreeing >= minAgreeing);
    CHECK(responders.contains("t1"));
    CHECK(responders.contains("t2"));
    auto const explanation = explain("GET", "/both/1", validKey);
    auto const& services = explanation.at("services").as_array();
    REQUIRE(services.size() == 2);
    CHECK(services.at(0).at("share").as_double() == Approx(0.75));
    CHECK(services.at(1).at("share").as_double() == Approx(0.25));
    CHECK(explanation.at("rank") == 2);
    CHECK(leftOut(explanation, "leaving") == "leaving");
    CHECK(leftOut(explanation, "zone-out") == "zone");
    CHECK(explanation.at("zones_out") == json::array { "arima" });
    CHECK(targetOf(explanation, "t1")->at("load").is_object());
}

// Guards against a question that changes what the daemon does or counts: a probe, a counter, an estimate of the route
// or a retry budget.
TEST_CASE_METHOD(ExplanationFixture, "EntryRouteExplanation_AskedManyTimes_ChangesNothing")
{
    auto& target = addNamedTarget("t1");
    std::atomic<unsigned> probes { 0 };
    target.loadScript = [&](RawConnection& connection, std::string const&) {
        ++probes;
        return connection.send(target.loadResponse());
    };
    StopAtScopeEnd const stop(*this);
    startDaemon();
    // Also before the daemon knows anything of the route.
    bool const isUsed = GENERATE(false, true);
    CAPTURE(isUsed);
    if (isUsed)
        CHECK(send("GET", "/read/1", validKey, "orders.test").status() == 200);
    std::this_thread::sleep_for(300ms);
    auto const metricsBefore = metrics();
    auto const probesBefore = probes.load();
    auto const first = explain("GET", "/read/1", validKey);
    for (unsigned index = 0; index < 300; ++index)
        explain("GET", "/read/1", index % 2 == 0 ? validKey : "unknown-key");
    auto last = explain("GET", "/read/1", validKey);
    CHECK(probes == probesBefore);
    CHECK(target.runs == (isUsed ? 1U : 0U));
    CHECK(metrics() == metricsBefore);
    // Only ages may differ.
    auto const withoutAges = [](json::object explanation) {
        explanation.at("settings").as_object().erase("rows_age_ms");
        auto& service = explanation.at("services").at(0).as_object();
        service.erase("capacity");
        service.erase("shortage");
        for (auto& element : service.at("targets").as_array()) {
            if (element.at("load").is_object())
                element.at("load").as_object().erase("age_ms");
        }
        return json::serialize(explanation);
    };
    CHECK(withoutAges(first) == withoutAges(last));
    CHECK(last.at("services").at(0).at("retry_tokens").is_null() == !isUsed);
}

// Guards against a key that reaches the output of the admin port or the log.
TEST_CASE_METHOD(ExplanationFixture, "EntryRouteExplanation_AnyKey_IsNeitherShownNorLogged")
{
    addNamedTarget("t1");
    StopAtScopeEnd const stop(*this);
    startDaemon();
    std::string output;
    for (auto const& key : { validKey, std::string("secret-unknown"), std::string("two secret-words"),
             "secret-" + std::string(300, 'k') }) {
        for (auto const* const query : { "?method=GET&host=orders.test&path=/read/1",
                 "?method=GET&host=other.test&path=/read/1", "?method=GET", "?key=" }) {
            auto const response = ask(query, key);
            output += response.head + response.body;
        }
    }
    CHECK(explain("GET", "/read/1", validKey).at("key").at("state") == "valid");
    CHECK(explain("GET", "/read/1").at("key").at("state") == "api_key_missing");
    CHECK(explain("GET", "/read/1", "two words").at("key").at("state") == "api_key_malformed");
    for (auto const& text :
        { output, daemon().log(), daemon().admin("/metrics").body, daemon().admin("/status").body }) {
        CHECK(text.find("key-of") == std::string::npos);
        CHECK(text.find("secret") == std::string::npos);
    }
}

// Guards against an explanation that does not name why a target gets nothing, or what is missing for a request.
TEST_CASE_METHOD(ExplanationFixture, "EntryRouteExplanation_TargetIsLeftOut_ReasonIsNamed")
{
    std::atomic<bool> refuses { true };
    auto& waits = addTarget("waits", [&](RawConnection& connection, std::string const& head) {
        if (!refuses)
            return connection.send(signedResponse(head, "waits "));
        return connection.send(wholeResponse("",
            "X-Comfreysail-Request-Id: " + requestIdOf(head)
                + "\r\nX-Comfreysail-Not-Executed: full\r\nRetry-After: 30\r\n",
            "503 Service Unavailable"));
    });
    StopAtScopeEnd const stop(*this);
    startDaemon();
    CHECK(send("GET", "/read/1", validKey, "orders.test").status() == 503);
    auto explanation = explain("GET", "/read/1", validKey);
    CHECK(explanation.at("outcome") == "refused");
    CHECK(explanation.at("refusal").at("error") == "no_target_available");
    CHECK(leftOut(explanation, "waits") == "wait");
    CHECK(targetOf(explanation, "waits")->at("left_out_for_ms").as_int64() > 20'000);
    std::this_thread::sleep_for(100ms);
    auto const later = explain("GET", "/read/1", validKey);
    auto const age = targetOf(later, "waits")->at("said_ms_ago").as_int64();
    CHECK(age >= 100);
    CHECK(age + targetOf(later, "waits")->at("left_out_for_ms").as_int64() >= 29'990);
    CHECK(age + targetOf(later, "waits")->at("left_out_for_ms").as_int64() <= 30'000);
    auto const metrics = daemon().admin("/metrics").body;
    CHECK(metrics.find("comfreysail_targets_left_out_total{reason=\"wait\"} 1") != std::string::npos);
    CHECK(daemon().log().find("left_out=\"leaving=0 wait=1 return=0 limit=0 oldest_said_ms_ago=") != std::string::npos);
    CHECK(explain("GET", "/both/1", validKey).at("services").at(1).at("reason")
        == "the service has no registered target");
    CHECK(send("GET", "/read/2", validKey, "orders.test").status() == 503);
    removeTarget(waits.id);
    auto& full = addNamedTarget("full");
    full.load = "2,6,2,100";
    REQUIRE(eventually([&] { return leftOut(explain("GET", "/read/1", validKey), "full").empty(); }));
    // The report that excludes the target is as old as the request before, and counts for a fraction of a second.
    REQUIRE(eventually([&] {
        CHECK(send("GET", "/read/3", validKey, "orders.test").status() == 503);
        explanation = explain("GET", "/read/1", validKey);
        return leftOut(explanation, "full") == "full";
    }));
    CHECK(explanation.at("outcome") == "uncertain");
}

// Guards against an answer about nothing: a daemon without settings says that they are missing, and a faulty question
// is refused with its fault.
TEST_CASE_METHOD(ExplanationFixture, "EntryRouteExplanation_NoSettingsOrFaultyQuestion_SaysSo")
{
    StopAtScopeEnd const stop(*this);
    setFaults(R"({"mode":"down"})");
    DaemonOptions options;
    options.waitsUntilReady = false;
    startDaemon(options);
    auto const explanation = explain("GET", "/read/1", validKey);
    CHECK(explanation.at("refusal").at("error") == "settings_unavailable");
    CHECK(explanation.at("settings").at("revision").is_null());
    for (auto const* const query : { "", "?method=GET", "?method=GET&host=a&path=b", "?method=GET&host=a&path=/&x=1",
             "?method=GET&host=a&path=/&time-limit-ms=0", "?method=GET&host=a&path=/&time-limit-ms=1s",
             "?method=%GG&host=a&path=/" }) {
        CAPTURE(query);
        CHECK(ask(query).status() == 400);
    }
    CHECK(explain("GET", "/read/a%2520b%3Fx%3D1%26y%2B").at("path") == "/read/a%20b?x=1&y+");
}

// Guards against a target that counts as full because of a request that has ended: the daemon probes it again and
// sends.
TEST_CASE_METHOD(ExplanationFixture, "EntryRouteExplanation_RequestHasEndedSinceTheLoadReport_TargetIsNotFull")
{
    addNamedTarget("t1").load = "0,0,1,100";
    StopAtScopeEnd const stop(*this);
    startDaemon();
    CHECK(send("GET", "/public/1", "", "orders.test").status() == 200);
    auto const explanation = explain("GET", "/read/1", validKey);
    CAPTURE(json::serialize(explanation));
    CHECK(targetOf(explanation, "t1")->at("load").at("sent_since") == 1);
    CHECK(targetOf(explanation, "t1")->at("left_out").is_null());
    CHECK(explanation.at("outcome") == "sent");
    CHECK(explanation.at("services").at(0).at("best_target") == "t1");
}

// Guards against an explanation that hides a shortage: the daemon refuses a part of the less urgent requests then, and
// an operator would look for a fault elsewhere.
TEST_CASE_METHOD(ExplanationFixture, "EntryRouteExplanation_ServiceIsShort_TellsWhatThatDoesToTheRequest")
{
    constexpr unsigned targetsWithRoom = 2;
    constexpr unsigned allTargets = 10;
    for (unsigned index = 0; index < allTargets; ++index)
        addNamedTarget("t" + std::to_string(index)).load = index < targetsWithRoom ? "0,0,3,100" : "3,0,3,100";
    StopAtScopeEnd const stop(*this);
    DaemonOptions options;
    options.overload = "shedding = true";
    startDaemon(options);
    auto const calm = explain("GET", "/read/1", validKey);
    CHECK(calm.at("outcome") == "sent");
    json::object urgent;
    json::object lessUrgent;
    // What is known of a shortage counts for about a second.
    REQUIRE(eventually([&] {
        for (unsigned index = 0; index < allTargets; ++index)
            send("GET", "/public/1", "", "orders.test");
        lessUrgent = explain("GET", "/read/1", validKey);
        urgent = explain("GET", "/urgent/1", "unknown-key");
        return lessUrgent.at("services").at(0).at("capacity").at("short") == true;
    }));
    auto const& service = lessUrgent.at("services").at(0);
    CAPTURE(json::serialize(service));
    CHECK(lessUrgent.at("outcome") == "uncertain");
    CHECK(service.at("shortage").at("reason") == "rank");
    CHECK(service.at("shortage").at("sent_part").as_double() > 0);
    CHECK(service.at("shortage").at("sent_part").as_double() < 1);
    CHECK(service.at("shortage").at("required_share").as_double()
        > service.at("capacity").at("share_with_room").as_double());
    CHECK(urgent.at("refusal").at("error") == "api_key_unknown");
}

// Guards against a subset that the explanation does not show, and against an explanation that takes long: an operator
// asks while the daemon serves requests on its only thread.
TEST_CASE_METHOD(ExplanationFixture, "EntryRouteExplanation_ManyMembersAndTargets_ShowsSubsetAndOtherDaemonsTargets")
{
    constexpr unsigned used = 24;
    constexpr unsigned allTargets = 30;
    for (unsigned index = 0; index < allTargets; ++index)
        addNamedTarget("t" + std::to_string(index));
    for (unsigned index = 0; index < 130; ++index)
        writeMember("vm-" + std::to_string(index), "127.0.0.1:1 2");
    StopAtScopeEnd const stop(*this);
    startDaemon({ .limits = "[connections]\nsubset = true\n" });
    json::object explanation;
    REQUIRE(eventually(
        [&] {
            explanation = explain("GET", "/read/1", validKey);
            return explanation.at("services").at(0).at("uses_subset") == true;
        },
        10s));
    unsigned inSubset = 0;
    unsigned ofOthers = 0;
    for (auto const& target : explanation.at("services").at(0).at("targets").as_array()) {
        inSubset += target.at("in_subset").as_bool() ? 1 : 0;
        ofOthers += target.at("left_out") == "other_daemons" ? 1 : 0;
    }
    CHECK(inSubset >= 6);
    CHECK(inSubset <= used);
    CHECK(ofOthers == allTargets - used);
}
