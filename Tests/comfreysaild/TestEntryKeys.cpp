#include "EntryFixture.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cctype>
#include <mutex>
#include <thread>

using namespace Comfreysail::Tests;
using namespace std::chrono_literals;

namespace {

std::string const ownTenants = R"([{"name":"kaje80","api-keys":["key-of-kaje","second-of-kaje"],"priority":0},
    {"name":"vopu11","api-keys":["key-of-vopu"]},{"name":"empty","api-keys":[]}])";
std::string const withoutVopu = R"([{"name":"kaje80","api-keys":["key-of-kaje"],"priority":0},
    {"name":"vopu11","api-keys":["new-of-vopu"]}])";

/// A platform whose settings have departments and a public route, and a record of what targets receive.
class KeysFixture : public EntryFixture {
public:
    KeysFixture() { writeTenants(2, ownTenants); }

    static std::string requestWith(std::string const& method, std::string const& path, std::string const& fields,
        std::string const& body = {}, std::string const& id = "id")
    {
        auto text = requestText(method, path, id, body);
        return text.insert(text.find("\r\n") + 2, fields);
    }

    RawResponse callWith(std::string const& method, std::string const& path, std::string const& fields,
        std::string const& body = {}, std::string const& id = "id")
    {
        auto connection = daemon().connect();
        connection.send(requestWith(method, path, fields, body, id));
        return connection.readResponse();
    }

    unsigned statusWithKey(std::string const& key, std::string const& path = "/read/1")
    {
        return callWith("GET", path, "Authorization: Token " + key + "\r\n").status();
    }

    ScriptedTarget::Script recordAndRespond()
    {
        return [this](RawConnection& connection, std::string const& head) {
            {
                std::lock_guard const lock(m_mutex);
                m_heads.push_back(head);
            }
            if (refusals > 0) {
                --refusals;
                return connection.send(wholeResponse("",
                    "X-Comfreysail-Request-Id: " + requestIdOf(head) + "\r\nX-Comfreysail-Not-Executed: full\r\n",
                    "503 Service Unavailable"));
            }
            return connection.send(signedResponse(head, "whole"));
        };
    }

    std::vector<std::string> takeHeads()
    {
        std::lock_guard const lock(m_mutex);
        return std::exchange(m_heads, {});
    }

    std::atomic<int> refusals { 0 }; ///< Requests that targets refuse before they serve the next one.

private:
    std::mutex m_mutex;
    std::vector<std::string> m_heads;
};

/// The values of all fields of this name in a head. The case of the name is ignored.
std::vector<std::string> fieldsOf(std::string const& head, std::string name)
{
    auto const toLower = [](std::string text) {
        std::ranges::transform(text, text.begin(), [](unsigned char byte) { return std::tolower(byte); });
        return text;
    };
    name = "\r\n" + toLower(name) + ": ";
    auto const lowered = toLower(head);
    std::vector<std::string> values;
    for (auto at = lowered.find(name); at != std::string::npos; at = lowered.find(name, at + 1)) {
        auto const begin = at + name.size();
        values.push_back(head.substr(begin, head.find("\r\n", begin) - begin));
    }
    return values;
}

using Values = std::vector<std::string>;

}

// Guards against work for a caller without a key that the operators gave out, and against a valid key that is refused.
TEST_CASE_METHOD(KeysFixture, "EntryKeys_EachKindOfAuthorization_YieldsTheExpectedStatus")
{
    auto& target = addTarget("t1", recordAndRespond());
    StopAtScopeEnd const stop(*this);
    startDaemon();
    std::vector<std::array<std::string, 2>> const cases {
        { "Authorization: Token key-of-kaje\r\n", "" },
        { "Authorization: token second-of-kaje\r\n", "" },
        { "authorization: TOKEN key-of-vopu\r\n", "" },
        { "Authorization:   Token  key-of-vopu  \r\n", "" },
        { "", "api_key_missing" },
        { "X-Comfreysail-Tenant: kaje80\r\n", "api_key_missing" },
        { "Authorization: \r\n", "api_key_malformed" },
        { "Authorization: Token\r\n", "api_key_malformed" },
        { "Authorization: key-of-kaje\r\n", "api_key_malformed" },
        { "Authorization: Bearer key-of-kaje\r\n", "api_key_malformed" },
        { "Authorization: Token key-of-kaje key-of-vopu\r\n", "api_key_malformed" },
        { "Authorization: Token key\xc3\xa4\r\n", "api_key_malformed" },
        { "Authorization: Token key-of-kaje\r\nauthorization: Token key-of-kaje\r\n", "api_key_repeated" },
        { "Authorization: Token key-of-kaje\r\nAuthorization: Token key-of-vopu\r\n", "api_key_repeated" },
        { "Authorization: Token " + std::string(257, 'k') + "\r\n", "api_key_too_long" },
        { "Authorization: Token " + std::string(9000, 'k') + "\r\n", "api_key_too_long" },
        { "Authorization: Token key-of-kaj\r\n", "api_key_unknown" },
        { "Authorization: Token key-of-kaje0\r\n", "api_key_unknown" },
        { "Authorization: Token KEY-OF-KAJE\r\n", "api_key_unknown" },
        { "Authorization: Token kaje80\r\n", "api_key_unknown" },
    };
    for (auto const& [fields, error] : cases) {
        for (std::string const method : { "GET", "POST" }) {
            CAPTURE(fields, method);
            auto const runs = target.runs.load();
            auto const response
                = method == "GET" ? callWith(method, "/read/1", fields) : callWith(method, "/pay/1", fields, "order");
            CHECK(response.status() == (error.empty() ? 200U : 401U));
            CHECK(response.field("Comfreysail-Error") == error);
            CHECK(response.field("WWW-Authenticate") == (error.empty() ? "" : "Token"));
            CHECK(response.field("Comfreysail-Outcome") == (error.empty() ? "" : "not-run"));
            CHECK(target.runs == runs + (error.empty() ? 1 : 0));
        }
    }
    // A path that no route allows stays unknown, with and without a key.
    CHECK(callWith("GET", "/other/1", "").status() == 404);
    CHECK(statusWithKey("key-of-kaje", "/other/1") == 404);
    CHECK(statusWithKey("wrong", "/other/1") == 404);
}

// Guards against a target that learns a key, or that serves a caller in the name of a department which the caller
// chose.
TEST_CASE_METHOD(KeysFixture, "EntryKeys_EachKindOfSend_NamesTheDepartmentAndHidesTheKey")
{
    auto const script = recordAndRespond();
    addTarget("t1", script);
    addTarget("t2", script);
    StopAtScopeEnd const stop(*this);
    startDaemon();
    std::string const claimed = "X-Comfreysail-Tenant: vopu11\r\nx-comfreysail-tenant: empty\r\n";
    std::string const own = claimed + "Authorization: Token key-of-kaje\r\n";
    auto const [method, path, bodySize, fields, tenants]
        = GENERATE_COPY(table<std::string, std::string, size_t, std::string, Values>({
            { "GET", "/read/1", 0, own, { "kaje80" } },
            { "GET", "/read/1", 0, own + "Connection: X-Comfreysail-Tenant\r\n", { "kaje80" } },
            { "POST", "/pay/1", 5, own, { "kaje80" } },
            { "POST", "/pay/1", 600'000, own, { "kaje80" } },
            { "GET", "/files/1", 0, own, { "kaje80" } },
            { "GET", "/public/1", 0, own, { "kaje80" } },
            { "GET", "/public/1", 0, claimed, {} },
            { "GET", "/public/1", 0, claimed + "Authorization: Token wrong\r\n", {} },
            { "GET", "/public/1", 0, own + "Authorization: Token key-of-kaje\r\n", {} },
        }));
    CAPTURE(method, path, bodySize, fields);
    refusals = 1;
    CHECK(callWith(method, path, fields, std::string(bodySize, 'b')).body == "whole");
    auto const heads = takeHeads();
    CHECK(heads.size() == 2); // The second one is the retry.
    for (auto const& head : heads) {
        CAPTURE(head);
        CHECK(fieldsOf(head, "X-Comfreysail-Tenant") == tenants);
        CHECK(fieldsOf(head, "Authorization").empty());
        CHECK(head.find("key-of-kaje") == std::string::npos);
    }
}

// Without departments in the settings nothing changes for deployments that use these headers in their own way.
TEST_CASE_METHOD(KeysFixture, "EntryKeys_SettingsWithoutDepartments_PassBothHeadersOn")
{
    writeTenants(3, "");
    addTarget("t1", recordAndRespond());
    StopAtScopeEnd const stop(*this);
    startDaemon();
    auto const fields = "Authorization: Basic abc\r\nAuthorization: Token x\r\nX-Comfreysail-Tenant: mine\r\n";
    CHECK(callWith("GET", "/read/1", fields).status() == 200);
    CHECK(callWith("GET", "/read/1", "").status() == 200);
    auto const heads = takeHeads();
    REQUIRE(heads.size() == 2);
    CHECK(fieldsOf(heads[0], "Authorization") == Values { "Basic abc", "Token x" });
    CHECK(fieldsOf(heads[0], "X-Comfreysail-Tenant") == Values { "mine" });
    CHECK(fieldsOf(heads[1], "X-Comfreysail-Tenant").empty());
}

// Guards against an empty list of departments that is taken for none, which would give everybody access.
TEST_CASE_METHOD(KeysFixture, "EntryKeys_EmptyListOfDepartments_OnlyPublicRoutesAreServed")
{
    writeTenants(3, "[]");
    addTarget("t1", recordAndRespond());
    StopAtScopeEnd const stop(*this);
    startDaemon();
    CHECK(callWith("GET", "/read/1", "").status() == 401);
    CHECK(statusWithKey("key-of-kaje") == 401);
    CHECK(callWith("GET", "/public/1", "").status() == 200);
}

// Guards against a refusal that is lost, or taken for part of the next response, because the body was not read.
TEST_CASE_METHOD(KeysFixture, "EntryKeys_RefusedRequestWithABody_GetsTheWholeResponse")
{
    auto& target = addTarget("t1", recordAndRespond());
    StopAtScopeEnd const stop(*this);
    startDaemon();
    // The body is complete, arrives later, or is never sent.
    for (auto const sentBytes : { size_t { 900'000 }, size_t { 10 }, size_t { 0 } }) {
        CAPTURE(sentBytes);
        auto connection = daemon().connect();
        auto head = requestWith("POST", "/pay/1", "Authorization: Token wrong\r\n", "x");
        head = head.substr(0, head.find("Content-Length")) + "Content-Length: 900000\r\n\r\n";
        std::thread sender([&] { connection.send(head + std::string(sentBytes, 'b')); });
        auto const response = connection.readResponse();
        sender.join();
        CHECK(response.status() == 401);
        CHECK(response.isComplete);
        CHECK(connection.waitForEnd(5s));
    }
    auto waiting = daemon().connect();
    auto expecting = requestWith("POST", "/pay/1", "Expect: 100-continue\r\n", "order");
    waiting.send(expecting.substr(0, expecting.find("\r\n\r\n") + 4));
    CHECK(waiting.readResponse().status() == 401); // And not 100, which would ask for the body.
    CHECK(target.runs == 0);
    // A refusal without a body leaves the connection open for the caller's next request.
    auto kept = daemon().connect();
    kept.send(
        requestWith("GET", "/read/1", "") + requestWith("GET", "/read/1", "Authorization: Token key-of-kaje\r\n"));
    CHECK(kept.readResponse().status() == 401);
    CHECK(kept.readResponse().status() == 200);
}

// A withdrawn key must get nothing, and a new one must be served, within 2.5 s of the operators' change.
TEST_CASE_METHOD(KeysFixture, "EntryKeys_KeyIsWithdrawnAndAddedWhileRunning_IsInForceInTime")
{
    auto& target = addTarget("t1", recordAndRespond());
    StopAtScopeEnd const stop(*this);
    startDaemon();
    CHECK(statusWithKey("key-of-vopu") == 200);
    CHECK(statusWithKey("new-of-vopu") == 401);
    writeTenants(3, withoutVopu);
    std::this_thread::sleep_for(2500ms);
    auto const runs = target.runs.load();
    CHECK(statusWithKey("key-of-vopu") == 401);
    CHECK(statusWithKey("second-of-kaje") == 401);
    CHECK(target.runs == runs);
    CHECK(statusWithKey("new-of-vopu") == 200);
    CHECK(statusWithKey("key-of-kaje") == 200);
    // An older version is not taken back, nor one in which two departments share a key.
    writeTenants(2, ownTenants);
    std::this_thread::sleep_for(1500ms);
    CHECK(statusWithKey("key-of-vopu") == 401);
    writeTenants(4, R"([{"name":"a","api-keys":["key-of-vopu"]},{"name":"b","api-keys":["key-of-vopu"]}])");
    CHECK(eventually([&] { return daemon().log().find("settings_refused") != std::string::npos; }));
    CHECK(statusWithKey("key-of-vopu") == 401);
    CHECK(statusWithKey("new-of-vopu") == 200);
}

// Guards against keys that stop working without the store, and against a withdrawal that is missed meanwhile.
TEST_CASE_METHOD(KeysFixture, "EntryKeys_KeyIsWithdrawnWhileTheStoreIsDown_IsRefusedOnceItIsBack")
{
    addTarget("t1", recordAndRespond());
    StopAtScopeEnd const stop(*this);
    startDaemon();
    CHECK(statusWithKey("key-of-vopu") == 200);
    // The daemon is a reader once it finds itself among the members. EntryKeys_StoreOutageBeforeTheDaemonIsAMember_...
    // has the case before that.
    REQUIRE(eventually(
        [&] { return daemon().admin("/metrics").body.find("comfreysail_members 1\n") != std::string::npos; }, 15s));
    setFaults(R"({"mode":"down"})");
    writeTenants(3, withoutVopu);
    std::this_thread::sleep_for(1500ms);
    CHECK(statusWithKey("key-of-kaje") == 200);
    CHECK(statusWithKey("key-of-vopu") == 200);
    setFaults(R"({"mode":"up"})");
    std::this_thread::sleep_for(2500ms);
    CHECK(statusWithKey("key-of-vopu") == 401);
    CHECK(statusWithKey("new-of-vopu") == 200);
    CHECK(statusWithKey("key-of-kaje") == 200);
}

// Guards against a daemon that expects rows from readers although none are known to it: while it is not a member, it
// must read the store within 2 s of its return.
TEST_CASE_METHOD(KeysFixture, "EntryKeys_StoreOutageBeforeTheDaemonIsAMember_KeysAreInForceSoonAfterIt", "[.failures]")
{
    addTarget("t1", recordAndRespond());
    StopAtScopeEnd const stop(*this);
    // Writes do not take effect, so the daemon does not become a member.
    setFaults(R"({"mode":"late","delay_ms":600000})");
    startDaemon();
    for (int version = 3; version < 9; ++version) {
        CAPTURE(version);
        setFaults(R"({"mode":"down"})");
        writeTenants(version, R"([{"name":"a","api-keys":["key-)" + std::to_string(version) + R"("]}])");
        std::this_thread::sleep_for(1500ms);
        setFaults(R"({"mode":"late","delay_ms":600000})");
        std::this_thread::sleep_for(2s);
        CHECK(statusWithKey("key-" + std::to_string(version - 1)) == 401);
        CHECK(statusWithKey("key-" + std::to_string(version)) == 200);
    }
    CHECK(storeKeys("comfreysail-members").empty());
}

// Guards against more calls to a store that is down, from daemons that are not members but get rows from a seed.
TEST_CASE_METHOD(KeysFixture, "EntryKeys_StoreOutageBeforeADaemonWithASeedIsAMember_ItReadsRarely", "[.failures]")
{
    setFaults(R"({"mode":"late","delay_ms":600000})");
    auto const& seed = startDaemon();
    auto const& daemon = startDaemon({ .vmName = "entry-2", .seedPorts = { seed.controlPort() } });
    setFaults(R"({"mode":"down"})");
    std::this_thread::sleep_for(16s);
    auto const metrics = daemon.admin("/metrics").body;
    CAPTURE(metrics);
    auto const name = metrics.find("comfreysail_store_calls_total{table=\"op\",result=\"failed\"} ");
    REQUIRE(name != std::string::npos);
    // With up to 5 s between two calls, more than 8 come in one of a thousand runs; with up to 1.5 s there are
    // about 11.
    CHECK(std::stoul(metrics.substr(metrics.find("} ", name) + 2)) <= 8);
}

// A daemon that was paused while keys changed must look for newer settings before it decides on a key.
TEST_CASE_METHOD(KeysFixture, "EntryKeys_KeysChangeWhileTheProcessIsPaused_NewSettingsDecide")
{
    auto& target = addTarget("t1", recordAndRespond());
    StopAtScopeEnd const stop(*this);
    auto& daemon = startDaemon();
    CHECK(statusWithKey("key-of-vopu") == 200);
    auto const runs = target.runs.load();
    daemon.stop();
    writeTenants(3, withoutVopu);
    std::this_thread::sleep_for(3s);
    auto withdrawn = daemon.connect();
    withdrawn.send(requestWith("GET", "/read/1", "Authorization: Token key-of-vopu\r\n"));
    auto added = daemon.connect();
    added.send(requestWith("GET", "/read/1", "Authorization: Token new-of-vopu\r\n"));
    daemon.resume();
    CHECK(withdrawn.readResponse().status() == 401);
    CHECK(added.readResponse().status() == 200);
    CHECK(target.runs == runs + 1);
}

// Guards against a valid key that is called wrong by a daemon which does not know the settings yet.
TEST_CASE_METHOD(KeysFixture, "EntryKeys_RestartBeforeTheSettingsAreKnown_IsUnavailable")
{
    addTarget("t1", recordAndRespond());
    StopAtScopeEnd const stop(*this);
    setFaults(R"({"mode":"down"})");
    startDaemon({ .waitsUntilReady = false });
    for (std::string const path : { "/read/1", "/public/1", "/other/1" }) {
        CAPTURE(path);
        CHECK(statusWithKey("key-of-kaje", path) == 503);
        CHECK(statusWithKey("wrong", path) == 503);
        CHECK(callWith("GET", path, "").status() == 503);
    }
    setFaults(R"({"mode":"up"})");
    CHECK(eventually([&] { return statusWithKey("key-of-kaje") == 200; }, 5s));
    CHECK(statusWithKey("wrong") == 401);
}

// Guards against keys in what operators and others may read, and against refusals that cannot be explained from the
// log.
TEST_CASE_METHOD(KeysFixture, "EntryKeys_LogAndAdminPort_ShowTheDepartmentAndNoKey")
{
    addTarget("t1", recordAndRespond());
    StopAtScopeEnd const stop(*this);
    auto& daemon = startDaemon();
    CHECK(callWith("GET", "/read/1", "Authorization: Token key-of-kaje\r\n", "", "served").status() == 200);
    CHECK(callWith("GET", "/read/1", "Authorization: Token key-of-vopu\r\n", "", "other").status() == 200);
    auto const unknown = callWith("GET", "/read/1", "Authorization: Token unknown-key\r\n", "", "refused");
    CHECK(unknown.status() == 401);
    auto const damaged = callWith("GET", "/read/1", "Authorization: Token unknown-key key-of-kaje\r\n", "", "damaged");
    CHECK(damaged.status() == 401);
    writeTenants(3, R"([{"name":"a","api-keys":["key-of-kaje",""]}])");
    CHECK(eventually([&] { return daemon.log().find("settings_refused") != std::string::npos; }));
    auto const log = daemon.log();
    auto const lineOf = [&](std::string const& event, std::string const& id) {
        auto const begin = log.find(event + " request_id=" + id);
        return begin == std::string::npos ? std::string() : log.substr(begin, log.find('\n', begin) - begin);
    };
    CHECK(lineOf("request_arrived", "served").find(" department=kaje80 rank=0 ") != std::string::npos);
    CHECK(lineOf("request_arrived", "other").find(" department=vopu11 rank=1 ") != std::string::npos);
    CHECK(lineOf("api_key_refused", "refused").find(" reason=api_key_unknown route=read revision=2 ")
        != std::string::npos);
    CHECK(lineOf("request_refused", "refused").find(" error=api_key_unknown ") != std::string::npos);
    CHECK(lineOf("api_key_refused", "damaged").find(" reason=api_key_malformed ") != std::string::npos);
    auto const metrics = daemon.admin("/metrics").body;
    CHECK(metrics.find("comfreysail_refusals_total{error=\"api_key_unknown\"} 1") != std::string::npos);
    for (auto const& text :
        { log, metrics, daemon.admin("/status").body, unknown.head + unknown.body, damaged.head + damaged.body }) {
        for (std::string const key : { "key-of", "unknown-key" })
            CHECK(text.find(key) == std::string::npos);
    }
}
