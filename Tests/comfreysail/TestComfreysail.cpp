#include <LibStore/Store.h>
#include <Support/ChildProcess.h>
#include <Support/ScriptedServer.h>
#include <Support/SettingsText.h>
#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <platform/Platform.h>

namespace json = boost::json;

using namespace Comfreysail;
using Tests::Finished;
using Tests::ScriptedServer;
using Tests::settingsText;

namespace {

/// A FakePlatform process, a folder for settings files, and functions that run the tool with them.
struct Fixture {
    Tests::ChildProcess platform { { COMFREYSAIL_BIN_DIR "/FakePlatform" } };
    std::string address;
    std::filesystem::path folder;

    Fixture()
    {
        auto const line = platform.readLine();
        address = "127.0.0.1:" + line.substr(line.find(" port=") + 6);
        auto pattern = (std::filesystem::temp_directory_path() / "comfreysail-XXXXXX").string();
        folder = mkdtemp(pattern.data());
    }

    ~Fixture() { std::filesystem::remove_all(folder); }

    std::string file(std::string const& name, std::string const& text) const
    {
        std::ofstream(folder / name) << text;
        return folder / name;
    }

    Finished tool(std::vector<std::string> arguments) const
    {
        arguments.insert(arguments.begin(), COMFREYSAIL_BIN_DIR "/comfreysail");
        arguments.insert(arguments.end(), { "--platform", address });
        return Tests::runProgram(arguments);
    }

    /// Runs the tool with --output json.
    json::object toolJson(std::vector<std::string> arguments) const
    {
        arguments.insert(arguments.end(), { "--output", "json" });
        auto const finished = tool(std::move(arguments));
        auto object = json::parse(finished.output).as_object();
        CHECK(object["exit_code"] == finished.code);
        return object;
    }

    void setFaults(std::string const& body) const { curl("POST", "/faults", body); }

    void curl(std::string const& method, std::string const& path, std::string const& body) const
    {
        auto const finished
            = Tests::runProgram({ "/usr/bin/curl", "-sf", "-X", method, "--data", body, "http://" + address + path });
        REQUIRE(finished.code == 0);
    }
};

/// A fake admin port of a daemon. It accepts pushed revisions; if it is stuck, it refuses them and is never ready.
class FakeAdmin {
public:
    FakeAdmin(std::string name, bool isStuck)
        : m_name(std::move(name))
        , m_isStuck(isStuck)
        , m_server([this](std::string const& request) { return respond(request); })
    {
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_server.port()); }
    std::vector<std::string> requests() const { return m_server.requests(); }

private:
    std::string respond(std::string const& request)
    {
        if (request.starts_with("POST /settings ")) {
            auto const head = Store::SettingsHead::fromJson(request.substr(request.find("\r\n\r\n") + 4), "push");
            if (Core::isError(head) || m_isStuck)
                return ScriptedServer::answer(503, "{}");
            m_revision = Core::valueOf(head).revision.revision;
            return ScriptedServer::answer(200, "{}");
        }
        return ScriptedServer::answer(200,
            json::serialize(
                json::object { { "name", m_name }, { "revision", m_revision.load() }, { "ready", !m_isStuck } }));
    }

    std::string m_name;
    bool m_isStuck;
    std::atomic<uint64_t> m_revision { 0 };
    ScriptedServer m_server;
};

struct UsageCase {
    std::vector<std::string> arguments;
    std::string part; ///< Part of the expected error message.
};

}

// Guards against ignoring a mistyped option: the command would then do something that the operator did not intend.
TEST_CASE("Tool_UsageFault_ExitsWith2AndNamesIt")
{
    auto const example = GENERATE(values<UsageCase>({ { {}, "a command is required" }, { { "aply", "f" }, "aply" },
        { { "apply" }, "needs a FILE" }, { { "apply", "a", "b" }, "\"b\"" }, { { "apply", "f", "--wiat" }, "wiat" },
        { { "apply", "f" }, "--platform is required" },
        { { "apply", "f", "--platform", "localhost:1" }, "--platform must be" },
        { { "apply", "f", "--platform", "127.0.0.1:1", "--service", "x" }, "does not take --service" },
        { { "apply", "f", "--platform", "127.0.0.1:1", "--expect", "x" }, "expect" },
        { { "apply", "f", "--platform", "127.0.0.1:1", "--change-id", "A b" }, "--change-id must be" },
        { { "show", "timeout", "--platform", "127.0.0.1:1" }, "timeout_ms" },
        { { "status", "--output", "xml", "--timeout", "0" }, "--output must be" },
        { { "moves", "stop", "m", "--platform", "127.0.0.1:1" }, "take-back" },
        { { "moves", "pause", "--platform", "127.0.0.1:1" }, "needs the id" },
        { { "moves", "declare", "m", "--kind", "zone", "--platform", "127.0.0.1:1" }, "--finish-by must be" } }));
    CAPTURE(example.arguments);
    auto arguments = example.arguments;
    arguments.insert(arguments.begin(), COMFREYSAIL_BIN_DIR "/comfreysail");
    auto const finished = Tests::runProgram(arguments);
    CHECK(finished.code == 2);
    CHECK(finished.output.empty());
    CHECK_THAT(finished.errors, Catch::Matchers::Contains(example.part));
}

TEST_CASE("Tool_HelpAndVersion_ExitWith0")
{
    auto const help = Tests::runProgram({ COMFREYSAIL_BIN_DIR "/comfreysail", "--help" });
    CHECK(help.code == 0);
    for (auto const* part : { "apply FILE", "take-back", "--admin-port", "Exit codes", "4  outcome unknown" })
        CHECK_THAT(help.output, Catch::Matchers::Contains(part));
    CHECK(Tests::runProgram({ COMFREYSAIL_BIN_DIR "/comfreysail", "--version" }).output == "comfreysail 0.1.0\n");
}

TEST_CASE_METHOD(Fixture, "Tool_Apply_ReportsEachOutcome")
{
    auto const one = file("1.toml", settingsText(1));
    auto const two = file("2.toml", settingsText(2));
    auto const invalid = tool({ "apply", file("bad.toml", "[defaults]\nweight = 0\nx = 1\n") });
    CHECK(invalid.code == 2);
    CHECK_THAT(invalid.errors,
        Catch::Matchers::Contains("bad.toml:2: defaults.weight")
            && Catch::Matchers::Contains("bad.toml:3: defaults.x"));
    CHECK(tool({ "apply", (folder / "none.toml").string() }).code == 2);

    auto accepted = toolJson({ "apply", one, "--change-id", "c1", "--expect", "0" });
    CHECK(accepted["outcome"] == "accepted");
    CHECK(accepted["revision"] == 1);
    CHECK(toolJson({ "apply", one, "--change-id", "c1", "--expect", "0" })["outcome"] == "already_accepted");
    CHECK(toolJson({ "apply", two, "--change-id", "c1" })["outcome"] == "change_id_reused");

    auto const stale = tool({ "apply", two, "--expect", "7" });
    CHECK(stale.code == 3);
    CHECK_THAT(stale.errors, Catch::Matchers::Contains("revision 1 of change c1"));
    CHECK(stale.output == "- defaults.timeout_ms = 1\n+ defaults.timeout_ms = 2\n");

    auto const diff = tool({ "diff", two });
    CHECK(diff.code == 0);
    CHECK(diff.output == "# revision 1, change c1\n" + stale.output);
    CHECK(tool({ "show", "--toml" }).output == settingsText(1));
    auto const shown = tool({ "show", "timeout_ms", "--service", "orders", "--department", "registry" });
    CHECK(shown.output == "# revision 1, change c1\ntimeout_ms = 700  # from departments.appeals\n");
    CHECK(tool({ "show", "--service", "nope" }).code == 2);
}

struct StoreCase {
    std::string faults;
    int code;
    std::string outcome;
};

// Scripts decide from the exit code whether the change was made, so it must be right for every kind of store fault.
TEST_CASE_METHOD(Fixture, "Tool_ApplyWithStoreFault_ExitCodeMatchesOutcome")
{
    auto const example = GENERATE(values<StoreCase>({ { R"({"mode":"down"})", 1, "failed" },
        { R"({"mode":"hang"})", 1, "failed" }, { R"({"mode":"lose_answers"})", 0, "accepted" },
        // The reads finish within the timeout. The write does not, and takes effect later.
        { R"({"mode":"slow","delay_ms":800})", 4, "unknown" }, { R"({"mode":"down","count":4})", 0, "accepted" } }));
    CAPTURE(example.faults);
    setFaults(example.faults);
    auto const settings = file("1.toml", settingsText(1));
    // Three reads precede the write: the base revision, the head and the change's own row.
    auto result = toolJson({ "apply", settings, "--change-id", "c1", "--timeout", "2.8" });
    CHECK(result["exit_code"] == example.code);
    CHECK(result["outcome"] == json::value(example.outcome));
    setFaults(R"({"mode":"up"})");
    // The slow write may take effect before or after this one.
    auto again = toolJson({ "apply", settings, "--change-id", "c1" });
    CHECK(again["exit_code"] == 0);
    CHECK(again["revision"] == 1);
}

TEST_CASE_METHOD(Fixture, "Tool_ApplyWait_NamesTheDaemonsThatLag")
{
    FakeAdmin const good("vm-1", false);
    FakeAdmin const stuck("vm-2", true);
    auto const settings = file("1.toml", settingsText(1));
    auto const reached = tool({ "apply", settings, "--wait", "--daemon", good.address() });
    CHECK(reached.code == 0);
    CHECK_THAT(reached.output, Catch::Matchers::EndsWith("in force on 1 of 1 daemons\n"));

    std::vector<std::string> const all { "apply", settings, "--wait", "--timeout", "0.5", "--daemon", good.address(),
        "--daemon", stuck.address(), "--daemon", "127.0.0.1:1" };
    auto const lagging = tool(all);
    CHECK(lagging.code == 1);
    CHECK_THAT(lagging.output, Catch::Matchers::EndsWith("in force on 1 of 3 daemons\n"));
    CHECK_THAT(lagging.errors, Catch::Matchers::Contains("vm-2 (revision 0), 127.0.0.1:1 (cannot connect"));
    auto object = toolJson(all);
    CHECK(object["in_force"] == 1);
    CHECK(object["pushed"] == 1);
    CHECK(object["lagging"] == json::array { "vm-2", "127.0.0.1:1" });

    auto const none = tool({ "apply", settings, "--wait" });
    CHECK(none.code == 1);
    CHECK_THAT(none.errors, Catch::Matchers::Contains("no daemons are known"));
}

TEST_CASE_METHOD(Fixture, "Tool_Status_AsksTheLiveVmsOfThePlatform")
{
    FakeAdmin const daemon("vm-1", false);
    auto const port = daemon.address().substr(10);
    Platform::RowTransaction vms;
    for (std::string const state : { "live", "leaving" }) {
        auto const value = R"({"address":"127.0.0.1","availability_zone":"z","state":")" + state + "\"}";
        vms.puts.push_back({ "", state == "live" ? "vm-1" : "vm-2", value, 0, std::string(Platform::Table::vms) });
    }
    curl("POST", "/rows-tx", Platform::transactionRequest(vms, {}).body);
    auto const all = tool({ "status", "--admin-port", port });
    CHECK(all.code == 0);
    CHECK(all.output == "vm-1 " + daemon.address() + " revision=0 ready=true\n");
    ScriptedServer const odd([](auto const&) { return ScriptedServer::answer(200, R"({"name":"x","ready":true})"); });
    auto const failed = tool({ "status", "--daemon", "127.0.0.1:" + std::to_string(odd.port()) });
    CHECK(failed.code == 1);
    CHECK_THAT(failed.output, Catch::Matchers::Contains("no valid field \"revision\""));
}

TEST_CASE_METHOD(Fixture, "Tool_Moves_ChangeStateOnce")
{
    REQUIRE(tool({ "apply", file("1.toml", settingsText()) }).code == 0);
    std::vector<std::string> const declare { "moves", "declare", "m1", "--kind", "version", "--service", "orders",
        "--from", "v1", "--to", "v2", "--start", "2026-12-04T10:00:00Z", "--finish-by", "2026-12-04T11:00:00Z" };
    auto declared = toolJson(declare);
    CHECK(declared["outcome"] == "changed");
    CHECK(declared["move"].at("start_ms") == 1'796'378'400'000);
    CHECK(toolJson(declare)["outcome"] == "already_there");
    CHECK(toolJson({ "moves", "pause", "m1" })["outcome"] == "changed");
    CHECK(toolJson({ "moves", "resume", "m1" })["outcome"] == "changed");
    CHECK(toolJson({ "moves", "take-back", "m1", "--reason", "slow" })["outcome"] == "changed");
    CHECK(toolJson({ "moves", "take-back", "m1" })["outcome"] == "already_there");
    CHECK(toolJson({ "moves", "resume", "m1" })["outcome"] == "conflict");
    CHECK(tool({ "moves" }).output
        == "m1 kind=version service=orders from=v1 to=v2 start=2026-12-04T10:00:00Z finish_by=2026-12-04T11:00:00Z "
           "state=taken_back reason=\"slow\"\n");
    CHECK(tool({ "moves", "pause", "m2" }).code == 1);

    auto unknown = declare;
    unknown[2] = "m2";
    unknown[10] = "v9";
    auto const refused = tool(unknown);
    CHECK(refused.code == 2);
    CHECK_THAT(refused.errors, Catch::Matchers::Contains("version \"v9\" does not exist"));

    setFaults(R"({"mode":"lose_answers"})");
    unknown[10] = "v2";
    CHECK(toolJson(unknown)["outcome"] == "changed");
    setFaults(R"({"mode":"down"})");
    CHECK(tool({ "moves", "pause", "m2", "--timeout", "0.3" }).code == 1);
}

// On-call engineers have only the logs of several daemons to trace a request.
TEST_CASE_METHOD(Fixture, "Tool_Explain_PrintsStepsOfOneRequestWithDaemonState")
{
    std::string const program = COMFREYSAIL_BIN_DIR "/comfreysail";
    auto const line = [](std::string const& time, std::string const& text) {
        return "I20261204 10:00:" + time + " 7 EventLine.cpp:62] " + text + "\n";
    };
    auto const first = file("a.log",
        line("00.1", "event=started vm_name=vm-1") + line("00.2", "event=settings_adopted revision=4")
            + line("00.3", "event=settings_adopted revision=5")
            + line("01.0", "event=request_arrived request_id=a1 route=r") + line("01.1", "event=x request_id=a2")
            + line("01.4", "event=request_refused request_id=a1 error=no_target_available"));
    auto const second = file(
        "b.log", line("00.1", "event=started vm_name=vm-2") + line("01.2", "event=request_arrived request_id=a1"));
    auto const finished = Tests::runProgram({ program, "explain", "a1", first, second });
    CHECK(finished.code == 0);
    std::string const firstState = "believed by vm-1:\n    20261204 10:00:00.1 vm-1 started vm_name=vm-1\n"
                                   "    20261204 10:00:00.3 vm-1 settings_adopted revision=5\nsteps:\n";
    std::string const secondState = "believed by vm-2:\n    20261204 10:00:00.1 vm-2 started vm_name=vm-2\nsteps:\n";
    CHECK(finished.output
        == firstState + "  20261204 10:00:01.0 vm-1 request_arrived route=r\n" + secondState
            + "  20261204 10:00:01.2 vm-2 request_arrived\n" + firstState
            + "  20261204 10:00:01.4 vm-1 request_refused error=no_target_available\n");
    // A log collector's file has the lines of all daemons, each prefixed with the daemon's name.
    auto const collected = file("c.log", " 1.5 vm-3 " + line("00.1", "event=request_arrived request_id=a4"));
    auto const named = Tests::runProgram({ program, "explain", "a4", collected });
    CHECK(named.output == "believed by vm-3:\nsteps:\n  20261204 10:00:00.1 vm-3 request_arrived\n");
    auto const none = Tests::runProgram({ program, "explain", "a3", first });
    CHECK(none.code == 1);
    CHECK_THAT(none.errors, Catch::Matchers::Contains("no line has the request id a3"));
    CHECK(Tests::runProgram({ program, "explain" }).code == 2);
}

// Guards against an explanation of a refusal that does not show why its targets were left out, or shows what no longer
// holds.
TEST_CASE_METHOD(Fixture, "Tool_Explain_ShowsWhatTargetsHadSaidWithItsAge")
{
    auto const line = [](std::string const& time, std::string const& text) {
        return "I20261204 10:00:" + time + " 7 EventLine.cpp:62] " + text + "\n";
    };
    auto const log = file("signals.log",
        line("00.050000", "event=started vm_name=vm-1")
            + line("00.100000", "event=target_leaving target=before-restart probe=true")
            + line("00.200000", "event=started vm_name=vm-1")
            + line("01.000000", "event=target_leaving target=t1 probe=true")
            + line("02.000000", "event=target_not_before target=over ms=100")
            + line("03.000000", "event=target_limit target=t2 requests_per_second=2 before=-1 probe=false")
            + line("03.500000", "event=target_limit target=ended requests_per_second=2 before=-1 probe=false")
            + line("04.000000", "event=target_limit target=ended requests_per_second=-1 before=2 probe=false")
            + line("09.000000", "event=target_not_before target=t3 ms=500")
            + line("09.250000", "event=target_not_before target=t3 ms=1500")
            + line("10.500000", "event=request_refused request_id=a1 left_out=\"wait=1\"")
            + line("10.600000", "event=target_leaving target=later probe=true"));
    auto const finished = Tests::runProgram({ COMFREYSAIL_BIN_DIR "/comfreysail", "explain", "a1", log });
    CHECK(finished.code == 0);
    CHECK(finished.output
        == "believed by vm-1:\n    20261204 10:00:00.200000 vm-1 started vm_name=vm-1\n"
           "    20261204 10:00:01.000000 vm-1 target_leaving target=t1 probe=true (said 9500 ms before)\n"
           "    20261204 10:00:03.000000 vm-1 target_limit target=t2 requests_per_second=2 before=-1 probe=false "
           "(said 7500 ms before)\n"
           "    20261204 10:00:09.250000 vm-1 target_not_before target=t3 ms=1500 (said 1250 ms before)\n"
           "steps:\n  20261204 10:00:10.500000 vm-1 request_refused left_out=wait=1\n");
}

namespace {

struct RouteCase {
    std::vector<std::string> arguments;
    std::string part; ///< Part of the expected error message.
};

json::object routeExplanation()
{
    return json::parse(R"({"method":"GET","host":"orders.test","path":"/read/1","daemon":"vm-1","zone":"z1",
        "settings":{"revision":7,"rows_age_ms":120,"waits_for_fresh_rows":false},"zones_out":["z3"],"host_known":true,
        "route":{"name":"read","prefix":"/read/","download":false,"idempotent":true,"public":false,"priority":1,
         "timeout_ms":1000,"latency_target_ms":300,"max_targets":2},
        "key":{"needed":true,"given":true,"state":"valid"},"department":"kaje80","rank":2,"time_limit_ms":null,
        "earlier_wait_ms":0,"outcome":"sent","refusal":null,"reason":null,"services":[{"service":"orders","share":1.0,
         "in_settings":true,"allowed_versions":[],"uses_subset":false,"selection":"probes","best_target":"t1",
         "best_cost":1.15,"capacity":null,"shortage":null,"retry_tokens":1.5,"first_return_ms":null,"outcome":"sent",
         "error":null,"reason":null,"targets_of_other_services":3,"targets":[
          {"id":"t1","zone":"z1","version":"v1","in_subset":false,"load":{"running":1,"waiting":0,"slots":2,
           "slowness":1.0,"age_ms":12,"sent_since":0},"cost":1.15,"left_out":null,"left_out_for_ms":null},
          {"id":"t2","zone":"z2","version":"v1","in_subset":false,"load":null,"cost":null,"left_out":"wait",
           "left_out_for_ms":900,"said_ms_ago":600}]}]})")
        .as_object();
}

Finished runRoute(std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), { COMFREYSAIL_BIN_DIR "/comfreysail", "route" });
    return Tests::runProgram(arguments);
}

}

// Guards against a question about another request than the one that the operator meant.
TEST_CASE("Tool_RouteUsageFault_ExitsWith2AndNamesIt")
{
    auto const example = GENERATE(values<RouteCase>({ { {}, "needs METHOD and URL" }, { { "GET" }, "METHOD and URL" },
        { { "get", "http://a/" }, "METHOD must be" }, { { "GET", "a/b" }, "URL must be" },
        { { "GET", "ftp://a/" }, "URL must be" }, { { "GET", "http:///x" }, "URL must be" },
        { { "GET", "http://user@a/" }, "URL must be" }, { { "GET", "http://a/ b" }, "URL must be" },
        { { "GET", "http://a/", "more" }, "\"more\"" }, { { "GET", "http://a/", "--daemon", "a:1" }, "--daemon must" },
        { { "GET", "http://a/", "--daemon", "127.0.0.1:1", "--daemon", "127.0.0.1:2" }, "one --daemon" },
        { { "GET", "http://a/", "--time-limit-ms", "0" }, "--time-limit-ms must be" },
        { { "GET", "http://a/", "--time-limit-ms", "x" }, "time-limit-ms" },
        { { "GET", "http://a/", "--platform", "127.0.0.1:1" }, "does not take --platform" },
        { { "GET", "http://a/", "--key-file", "/nonexistent/key" }, "cannot read a key from /nonexistent/key" } }));
    CAPTURE(example.arguments);
    auto const finished = runRoute(example.arguments);
    CHECK(finished.code == 2);
    CHECK(finished.output.empty());
    CHECK_THAT(finished.errors, Catch::Matchers::Contains(example.part));
}

// Guards against output that hides why a request goes where it goes, and against a key that is shown.
TEST_CASE_METHOD(Fixture, "Tool_Route_AsksTheDaemonAndShowsItsExplanation")
{
    ScriptedServer const daemon(
        [](auto const&) { return ScriptedServer::answer(200, json::serialize(routeExplanation())); });
    auto const address = "127.0.0.1:" + std::to_string(daemon.port());
    auto const key = file("key", "secret-key\r\nmore\n");
    std::vector<std::string> const arguments { "GET", "http://orders.test:8080/read/a%20b?x=1&y+#part", "--daemon",
        address, "--key-file", key, "--time-limit-ms", "1500" };
    auto const finished = runRoute(arguments);
    CAPTURE(finished.errors);
    CHECK(finished.code == 0);
    REQUIRE(daemon.requests().size() == 1);
    auto const request = daemon.requests().front();
    CHECK_THAT(request, Catch::Matchers::StartsWith("GET /explain-route?method=GET&host=orders.test"));
    CHECK_THAT(request,
        Catch::Matchers::Contains("%3A8080&path=%2Fread%2Fa%2520b%3Fx%3D1%26y%2B&time-limit-ms=1500 HTTP/1.1"));
    CHECK_THAT(request, Catch::Matchers::Contains("\r\nAuthorization: Token secret-key\r\n"));
    CHECK(finished.errors.empty());
    CHECK_THAT(finished.output,
        Catch::Matchers::StartsWith(
            "GET orders.test/read/1: sent\ndaemon vm-1 in zone z1, settings revision 7, rows read "
            "120 ms ago\nzones out of service: z3\nroute read (prefix /read/, priority 1, "));
    for (auto const* part : { "key needed, valid; department kaje80, rank 2\n", "service orders (share 1): sent\n",
             "best by present knowledge: t1 (cost 1.15)\n", "a request first probes",
             "  t1      z1    v1       1+0/2 x1  12      0     1.15  no      best\n",
             "  t2      z2    v1       -         -       -     -     no      left out: wait for 900 ms, ",
             "left out: wait for 900 ms, said 600 ms ago\n" })
        CHECK_THAT(finished.output, Catch::Matchers::Contains(part));
    auto withJson = arguments;
    withJson.emplace_back("--json");
    auto const asJson = runRoute(withJson);
    auto expected = routeExplanation();
    expected["exit_code"] = 0;
    CHECK(json::parse(asJson.output).as_object() == expected);
    for (auto const& text : { finished.output, asJson.output, asJson.errors })
        CHECK(text.find("secret-key") == std::string::npos);
}

// Guards against a key in the error message of a faulty key file, and against fields that such a file adds.
TEST_CASE_METHOD(Fixture, "Tool_RouteFaultyKeyFile_IsRefusedWithoutShowingIt")
{
    for (auto const& text : { std::string(), std::string("\nsecret"), "secret" + std::string("\x01") + "key\n",
             "secret" + std::string(5000, 'k') }) {
        auto const finished = runRoute({ "GET", "http://a/", "--key-file", file("key", text) });
        CHECK(finished.code == 2);
        CHECK(finished.errors.find("secret") == std::string::npos);
        CHECK_THAT(finished.errors, Catch::Matchers::Contains("key"));
        CHECK(std::ranges::count(finished.errors, '\n') == 1);
    }
}

// Scripts tell from the exit code whether they know the answer, so each cause has its own.
TEST_CASE("Tool_RouteWithoutAnswer_ExitCodeAndOneLineNameTheCause")
{
    auto const ask = [](int status, std::string const& body) {
        ScriptedServer const daemon([&](auto const&) { return ScriptedServer::answer(status, body); });
        return runRoute({ "GET", "http://other.test/x", "--daemon", "127.0.0.1:" + std::to_string(daemon.port()) });
    };
    auto const checkProblem = [](Finished const& finished, int code, std::string const& part) {
        CHECK(finished.code == code);
        CHECK(finished.output.empty());
        CHECK_THAT(finished.errors, Catch::Matchers::Contains(part));
        CHECK(std::ranges::count(finished.errors, '\n') == 1);
    };
    checkProblem(runRoute({ "GET", "http://a/", "--daemon", "127.0.0.1:1" }), 5, "cannot connect to the daemon at");
    checkProblem(ask(503, "busy"), 5, "answered 503");
    auto unknown = routeExplanation();
    unknown["host"] = "other.test";
    unknown["host_known"] = false;
    checkProblem(ask(200, json::serialize(unknown)), 6, "no route has the host other.test");
    checkProblem(ask(404, "not found\n"), 1, "does not explain routes");
    checkProblem(ask(200, "ok\n"), 1, "does not explain routes");
    checkProblem(ask(400, "the query is not valid\n"), 2, "the query is not valid");
    // A refusal of the request is an answer.
    auto refused = routeExplanation();
    refused["outcome"] = "refused";
    refused["refusal"] = json::object { { "error", "unknown_route" }, { "status", 404 } };
    refused["reason"] = "no route of the host has a prefix of the path";
    refused["route"] = nullptr;
    refused["services"] = json::array {};
    auto const answered = ask(200, json::serialize(refused));
    CHECK(answered.code == 0);
    CHECK_THAT(answered.output,
        Catch::Matchers::StartsWith("GET orders.test/read/1: refused with 404 unknown_route, no route of the host"));
    // Without settings no host is known.
    refused["host_known"] = false;
    refused["settings"].as_object()["revision"] = nullptr;
    CHECK(ask(200, json::serialize(refused)).code == 0);
}
