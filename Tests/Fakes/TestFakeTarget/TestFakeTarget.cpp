#include <LibCore/Core.h>
#include <Support/ChildProcess.h>
#include <TestContent/TestContent.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>
#include <filesystem>
#include <map>
#include <memory>
#include <thread>
#include <unistd.h>

using namespace Comfreysail;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

namespace {

/// A blocking connection to the target.
struct Connection {
    asio::io_context context;
    asio::ip::tcp::socket socket { context };
    boost::beast::flat_buffer buffer;
    boost::beast::error_code error;

    explicit Connection(uint16_t port) { socket.connect({ asio::ip::address_v4::loopback(), port }); }

    void send(Request request)
    {
        request.prepare_payload();
        http::write(socket, request);
    }

    Response receive()
    {
        http::response_parser<http::string_body> parser;
        http::read(socket, buffer, parser, error);
        return parser.release();
    }
};

struct TargetFixture {
    std::string const executions
        = std::filesystem::temp_directory_path() / ("comfreysail-executions-" + std::to_string(getpid()));
    std::unique_ptr<Tests::ChildProcess> process;
    uint16_t port { 0 };

    TargetFixture() { std::filesystem::remove(executions); }
    ~TargetFixture() { std::filesystem::remove(executions); }
    TargetFixture(TargetFixture const&) = delete;
    TargetFixture& operator=(TargetFixture const&) = delete;

    void start(std::vector<std::string> const& options = {})
    {
        std::vector<std::string> arguments { std::string(COMFREYSAIL_BIN_DIR) + "/FakeTarget", "--port", "0",
            "--executions-file", executions };
        arguments.insert(arguments.end(), options.begin(), options.end());
        process = std::make_unique<Tests::ChildProcess>(arguments);
        auto const line = process->readLine();
        port = static_cast<uint16_t>(std::stoul(line.substr(line.rfind(':') + 1)));
    }

    Response call(http::verb method, std::string const& path, std::string const& body = {},
        std::map<std::string, std::string> const& fields = {}) const
    {
        Connection connection(port);
        connection.send(makeRequest(method, path, body, fields));
        return connection.receive();
    }

    static Request makeRequest(http::verb method, std::string const& path, std::string const& body = {},
        std::map<std::string, std::string> const& fields = {})
    {
        Request request { method, path, 11, body };
        for (auto const& [name, value] : fields)
            request.set(name, value);
        return request;
    }

    void fault(std::string const& json) const
    {
        CHECK(call(http::verb::post, "/faults", json).result() == http::status::ok);
    }

    std::string order(std::string const& key) const
    {
        call(http::verb::post, "/orders/1", "paper", { { "Idempotency-Key", key } });
        return call(http::verb::get, "/executions").body();
    }
};

}

// Load tests detect swapped responses by the request ID and the checksum that an answer repeats.
TEST_CASE_METHOD(TargetFixture, "FakeTarget_Lookup_EchoesRequestIdAndChecksum")
{
    start();
    auto const answer = call(http::verb::get, "/status/1", {}, { { "Comfreysail-Request-Id", "abc" } });
    auto const checksum = TestContent::requestChecksum("GET", "/status/1", "");
    CHECK(answer.body() == TestContent::answerBody("abc", checksum));
    CHECK(answer["Comfreysail-Load"] == "in_flight=1;limit=8;state=serving");
}

// If a crash lost the execution counts, an order that ran before and after it would be counted once.
TEST_CASE_METHOD(TargetFixture, "FakeTarget_Orders_AreCountedAcrossACrash")
{
    start();
    CHECK(order("k") == "{\"k\":1}\n");
    CHECK(call(http::verb::get, "/poison/1").body().empty());
    CHECK(process->wait() == 3);
    start();
    CHECK(order("k") == "{\"k\":2}\n");
}

// A resumed download must get the rest of the same content, and all of it if its If-Range tag does not match.
TEST_CASE_METHOD(TargetFixture, "FakeTarget_DownloadRange_ContinuesTheWhole")
{
    start();
    auto const whole = call(http::verb::get, "/download/a/200000");
    auto const tag = std::string(whole["ETag"]);
    std::string expected(200000, '\0');
    TestContent::fillDownload("/download/a/200000", 0, expected);
    CHECK(whole.body() == expected);
    auto const part
        = call(http::verb::get, "/download/a/200000", {}, { { "Range", "bytes=150001-" }, { "If-Range", tag } });
    CHECK(part.result() == http::status::partial_content);
    CHECK(part.body() == expected.substr(150001));
    auto const changed = call(
        http::verb::get, "/download/a/200000", {}, { { "Range", "bytes=150001-" }, { "If-Range", "\"other\"" } });
    CHECK(changed.result() == http::status::ok);
    CHECK(changed.body() == expected);
}

// At-most-once execution relies on the target not starting a request after its start-by time.
TEST_CASE_METHOD(TargetFixture, "FakeTarget_StartByPassed_RefusesWithoutRunning")
{
    start();
    auto const late = std::to_string(Core::toUnixMilliseconds(Core::wallNow()) - 1);
    auto const answer = call(
        http::verb::post, "/orders/1", "paper", { { "Idempotency-Key", "k" }, { "Comfreysail-Start-By", late } });
    CHECK(answer.result_int() == 503);
    CHECK(answer["Comfreysail-Outcome"] == "not-run");
    CHECK(answer["Comfreysail-Error"] == "start_deadline_passed");
    CHECK(call(http::verb::get, "/executions").body() == "{}\n");
}

// Tests of cancellation need a target that frees the slot and the queue place of a cancelled request. A request that is
// cancelled while queued must not run.
TEST_CASE_METHOD(TargetFixture, "FakeTarget_QueuedRequestCancelled_DoesNotRun")
{
    start({ "--slots", "1", "--order-ms", "100000" });
    Connection running(port);
    running.send(makeRequest(http::verb::post, "/orders/1", "a", { { "Idempotency-Key", "running" } }));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    {
        Connection queued(port);
        queued.send(makeRequest(http::verb::post, "/orders/2", "b", { { "Idempotency-Key", "queued" } }));
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    running.socket.close();
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    CHECK(call(http::verb::get, "/executions").body() == "{\"running\":1}\n");
    CHECK(call(http::verb::get, "/load").body().find("\"in_flight\":0") != std::string::npos);
    CHECK(call(http::verb::get, "/load").body().find("\"cancelled\":2") != std::string::npos);
}

// A target at its limit refuses a request without running it.
TEST_CASE_METHOD(TargetFixture, "FakeTarget_AboveLimit_ShedsLoad")
{
    start({ "--limit", "1", "--order-ms", "100000" });
    Connection running(port);
    running.send(makeRequest(http::verb::post, "/orders/1", "a", { { "Idempotency-Key", "running" } }));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    auto const shed = call(http::verb::get, "/status/1");
    CHECK(shed.result_int() == 503);
    CHECK(shed["Comfreysail-Outcome"] == "not-run");
}

// Tests of a target that says something of itself need the fields as they are given, also invalid ones, and none
// otherwise.
TEST_CASE_METHOD(TargetFixture, "FakeTarget_SignalOptions_AreSentAsGiven")
{
    start();
    CHECK(call(http::verb::get, "/status/1").count("Server-Leaving") == 0);
    CHECK(call(http::verb::get, "/status/1").count("Server-Limit") == 0);
    start({ "--server-leaving", "1", "--server-limit", "2.5x", "--retry-after", "0.75" });
    for (auto const* path : { "/status/1", "/health" }) {
        auto const answer = call(http::verb::get, path);
        CHECK(answer.result_int() == 200);
        CHECK(answer["Server-Leaving"] == "1");
        CHECK(answer["Server-Limit"] == "2.5x");
        CHECK(answer.count("Retry-After") == 0);
    }
    fault(R"({"fault":"drain"})");
    auto const refusal = call(http::verb::get, "/status/1");
    CHECK(refusal.result_int() == 503);
    CHECK(refusal["Retry-After"] == "0.75");
    CHECK(refusal["Server-Leaving"] == "1");
}

// An overloaded cold target must fail. Otherwise tests would not notice a daemon that ramps up its load too fast.
TEST_CASE_METHOD(TargetFixture, "FakeTarget_OverloadedWhileCold_Fails")
{
    start({ "--cold-ms", "60000", "--lookup-ms", "10000" });
    CHECK(call(http::verb::get, "/load").body().find("\"state\":\"cold\"") != std::string::npos);
    std::vector<std::unique_ptr<Connection>> connections;
    for (auto index = 0; index < 2; ++index) {
        connections.push_back(std::make_unique<Connection>(port));
        connections.back()->send(makeRequest(http::verb::get, "/status/1"));
    }
    CHECK(connections[1]->receive().result_int() == 500);
    CHECK(call(http::verb::get, "/load").body().find("\"cold_overloads\":1") != std::string::npos);
}

// A silent target stops answering on established connections but accepts and serves new ones.
TEST_CASE_METHOD(TargetFixture, "FakeTarget_Silent_OnlyOldConnectionsStop")
{
    start();
    Connection old(port);
    old.send(makeRequest(http::verb::get, "/status/1"));
    CHECK(old.receive().result_int() == 200);
    fault(R"({"fault":"silent"})");
    old.send(makeRequest(http::verb::get, "/status/2"));
    CHECK(call(http::verb::get, "/status/3").result_int() == 200);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    CHECK(old.socket.available() == 0);
}

struct FaultCase {
    std::string json;
    unsigned status;
    bool endsEarly;
};

// Each fault must change the answer. A fault without an effect would let every test that uses it pass.
TEST_CASE_METHOD(TargetFixture, "FakeTarget_FaultSwitch_ChangesTheAnswer")
{
    auto const example = GENERATE(values<FaultCase>({
        { R"({"fault":"fail_fast"})", 500, false },
        { R"({"fault":"bad_route","path_prefix":"/status"})", 500, false },
        { R"({"fault":"drain"})", 503, false },
        { R"({"fault":"cut"})", 200, true },
        { R"({"fault":"reset"})", 0, true },
        { R"({"fault":"none"})", 200, false },
    }));
    CAPTURE(example.json);
    start();
    fault(example.json);
    Connection connection(port);
    connection.send(makeRequest(http::verb::get, "/status/1"));
    auto const answer = connection.receive();
    CHECK(connection.error.failed() == example.endsEarly);
    if (example.status > 0)
        CHECK(answer.result_int() == example.status);
}

// A misspelt fault must be refused, or a test would run without the fault.
TEST_CASE_METHOD(TargetFixture, "FakeTarget_UnknownFaultSwitch_IsRefused")
{
    start();
    CHECK(call(http::verb::post, "/faults", R"({"fault":"slwo"})").result_int() == 400);
    CHECK(call(http::verb::post, "/faults", "{").result_int() == 400);
}
