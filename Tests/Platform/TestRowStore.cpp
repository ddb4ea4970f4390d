#include <LibStore/HttpCaller.h>
#include <Support/ChildProcess.h>
#include <Support/ScriptedServer.h>
#include <Support/SettingsText.h>
#include <Support/Waiting.h>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <platform/RowStore.h>
#include <thread>

using namespace Comfreysail;
using namespace Comfreysail::Store;
using Core::ErrorKind;
using Tests::ScriptedServer;
using namespace std::chrono_literals;

namespace {

/// An io_context and the thread that runs it.
struct Network {
    boost::asio::io_context context { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work { context.get_executor() };
    std::thread thread { [this] { context.run(); } };

    ~Network()
    {
        context.stop();
        thread.join();
    }

    StorePort store(uint16_t port, HttpStoreOptions options = {})
    {
        options.address = "127.0.0.1";
        options.port = port;
        return Platform::makeStorePort(context.get_executor(), options);
    }
};

/// A FakePlatform process with a control port for injecting faults.
struct PlatformProcess {
    Tests::ChildProcess process { { COMFREYSAIL_BIN_DIR "/FakePlatform", "--control-port", "0" } };
    uint16_t port { 0 };
    uint16_t controlPort { 0 };
    Network network;

    PlatformProcess()
    {
        auto const line = process.readLine();
        port = static_cast<uint16_t>(std::stoi(line.substr(line.find(" port=") + 6)));
        controlPort = static_cast<uint16_t>(std::stoi(line.substr(line.find(" control_port=") + 14)));
    }

    /// Sets the faults to inject. Returns FakePlatform's call counts as JSON.
    std::string control(std::string const& faults)
    {
        auto const caller = std::make_shared<HttpCaller>(
            network.context.get_executor(), HttpStoreOptions { "127.0.0.1", controlPort });
        auto const answer = Tests::await<HttpCaller::Answer>([&](auto callback) {
            caller->send(
                { boost::beast::http::verb::post, "/faults", faults, false, Tests::inSeconds(5) }, std::move(callback));
        });
        REQUIRE(Core::valueOf(answer).status == 200);
        return Core::valueOf(answer).body;
    }

    StorePort store() { return network.store(port); }
};

Core::Result<std::optional<Row>> read(StorePort const& port, std::string const& table, std::string const& key,
    Core::Instant deadline = Tests::inSeconds(5))
{
    return Tests::await<std::optional<Row>>(
        [&](auto callback) { port.read(table, key, deadline, std::move(callback)); });
}

Core::Result<TransactionResult> transact(
    StorePort const& port, std::vector<Operation> const& operations, Core::Instant deadline = Tests::inSeconds(5))
{
    return Tests::await<TransactionResult>(
        [&](auto callback) { port.transact(operations, deadline, std::move(callback)); });
}

Operation put(std::string const& key, int64_t expected, std::string const& value)
{
    return { Operation::Kind::Put, "t", key, expected, value };
}

ErrorKind kindOf(auto const& result)
{
    REQUIRE(Core::isError(result));
    INFO(Core::errorOf(result).detail);
    return Core::errorOf(result).kind;
}

}

TEST_CASE("RowStore_EveryCall_DoesWhatTheProtocolSays")
{
    PlatformProcess platform;
    auto const store = platform.store();
    std::string const key = "a/b ?#%é";
    std::string const value = "line\n\"quoted\" \\ \x01 é";

    CHECK(Core::valueOf(read(store, "t", key)) == std::nullopt);
    auto const written = transact(store, { put(key, 0, value), put("a/c", anyVersion, "") });
    REQUIRE(Core::valueOf(written).isCommitted());
    auto const version = Core::valueOf(written).versions.at(0);
    CHECK(Core::valueOf(read(store, "t", key)) == Row { key, version, value });

    // All conflicts are reported, and nothing is written.
    auto const refused = transact(store, { put(key, 0, "x"), put("d", 0, "x"), put("e", 7, "x") });
    CHECK(Core::valueOf(refused).conflicts == std::vector<Conflict> { { 0, version, value }, { 2, 0, "" } });
    CHECK(Core::valueOf(read(store, "t", "d")) == std::nullopt);

    auto const scanned = Tests::await<std::vector<Row>>(
        [&](auto callback) { store.scan("t", "a/", Tests::inSeconds(5), std::move(callback)); });
    REQUIRE(Core::valueOf(scanned).size() == 2);
    CHECK(Core::valueOf(scanned)[0].key == key);
    auto const expected = static_cast<int64_t>(version);
    CHECK(Core::valueOf(
        transact(
            store, { { Operation::Kind::Check, "t", key, expected }, { Operation::Kind::Delete, "t", key, expected } }))
              .isCommitted());
    CHECK(Core::valueOf(read(store, "t", key)) == std::nullopt);
    CHECK(kindOf(transact(store, {})) == ErrorKind::Internal);

    auto const readObject = [&](std::string const& name) {
        return Tests::await<std::string>(
            [&](auto callback) { store.readObject(name, Tests::inSeconds(5), std::move(callback)); });
    };
    std::string const content(300'000, '\xff');
    CHECK_FALSE(Core::isError(Tests::await<Core::Empty>(
        [&](auto callback) { store.putObject("o 1", content, Tests::inSeconds(5), std::move(callback)); })));
    CHECK(Core::valueOf(readObject("o 1")) == content);
    CHECK(kindOf(readObject("o 2")) == ErrorKind::RowNotFound);
    CHECK(Core::valueOf(Tests::await<std::vector<Vm>>([&](auto callback) {
        store.listVms(Tests::inSeconds(5), std::move(callback));
    })).empty());
}

struct FaultCase {
    std::string faults;
    ErrorKind write;
    bool wasWritten;
    std::optional<ErrorKind> read;
};

// A write may fail with StoreUnavailable only if no byte of it arrived or the platform refused it, because the caller
// then treats it as not done.
TEST_CASE("RowStore_PlatformFault_DistinguishesUnavailableFromUnknownOutcome")
{
    auto const example = GENERATE(values<FaultCase>({
        { R"({"mode":"down"})", ErrorKind::StoreUnavailable, false, ErrorKind::StoreUnavailable },
        { R"({"mode":"hang"})", ErrorKind::StoreOutcomeUnknown, false, ErrorKind::StoreUnavailable },
        { R"({"mode":"slow","delay_ms":400})", ErrorKind::StoreOutcomeUnknown, true, ErrorKind::StoreUnavailable },
        { R"({"mode":"lose_answers"})", ErrorKind::StoreOutcomeUnknown, true, {} },
        { R"({"mode":"late","delay_ms":300})", ErrorKind::StoreOutcomeUnknown, true, {} },
        { R"({"mode":"busy"})", ErrorKind::StoreOutcomeUnknown, false, ErrorKind::StoreUnavailable },
        { R"({"mode":"too_many"})", ErrorKind::StoreUnavailable, false, ErrorKind::StoreUnavailable },
        { R"({"mode":"down","callers":"127.0.0.1"})", ErrorKind::StoreUnavailable, false, ErrorKind::StoreUnavailable },
    }));
    auto const hasIdleConnection = GENERATE(false, true);
    CAPTURE(example.faults, hasIdleConnection);
    PlatformProcess platform;
    auto const store = platform.store();
    if (hasIdleConnection)
        REQUIRE_FALSE(Core::isError(read(store, "t", "k")));
    platform.control(example.faults);
    auto const deadline = Core::monotonicNow() + 200ms;
    CHECK(kindOf(transact(store, { put("k", 0, "v") }, deadline)) == example.write);
    CHECK(Core::monotonicNow() < deadline + 1s);
    auto const found = read(store, "t", "k", Core::monotonicNow() + 100ms);
    CHECK(Core::isError(found) == example.read.has_value());
    if (example.read)
        CHECK(kindOf(found) == *example.read);

    // A slow write takes effect after its caller has timed out.
    std::this_thread::sleep_for(example.wasWritten ? 500ms : 50ms);
    platform.control(R"({"mode":"up"})");
    CHECK(Core::valueOf(read(store, "t", "k")).has_value() == example.wasWritten);
}

// A keep-alive connection that the platform closed while idle must not fail a read, nor leave the outcome of a write
// unknown.
TEST_CASE("RowStore_IdleConnectionClosed_IsReplaced")
{
    PlatformProcess platform;
    auto const store = platform.store();
    REQUIRE_FALSE(Core::isError(read(store, "t", "k")));
    platform.control(R"({"mode":"down"})");
    platform.control(R"({"mode":"up"})");
    CHECK(Core::valueOf(transact(store, { put("k", 0, "v") })).isCommitted());
}

TEST_CASE("RowStore_PastDeadlineOrNoPlatform_IsUnavailable")
{
    Network network;
    uint16_t port = 0;
    {
        ScriptedServer const gone([](auto const&) { return std::string(); });
        port = gone.port();
    }
    CHECK(kindOf(transact(network.store(port), { put("k", 0, "v") })) == ErrorKind::StoreUnavailable);
    PlatformProcess platform;
    CHECK(kindOf(transact(platform.store(), { put("k", 0, "v") }, Core::monotonicNow() - 1ms))
        == ErrorKind::StoreUnavailable);
    CHECK(Core::valueOf(read(platform.store(), "t", "k")) == std::nullopt);
}

struct AnswerCase {
    std::string name;
    std::string bytes;
    ErrorKind read;
    ErrorKind write;
};

// A response that violates the protocol must not count as a committed write, nor as a conflict.
TEST_CASE("RowStore_MalformedAnswer_IsAnError")
{
    constexpr auto none = ErrorKind::StoreUnavailable;
    constexpr auto unknown = ErrorKind::StoreOutcomeUnknown;
    auto const example = GENERATE_COPY(values<AnswerCase>({
        { "no HTTP", "hello\r\n\r\n", none, unknown },
        { "cut", "HTTP/1.1 200 X\r\nContent-Length: 100\r\n\r\n{", none, unknown },
        { "no JSON", ScriptedServer::answer(200, "x"), none, unknown },
        { "missing fields", ScriptedServer::answer(200, "{}"), none, unknown },
        { "revision is a text", ScriptedServer::answer(200, R"({"resource-version":"5","rows":[]})"), none, unknown },
        { "server error", ScriptedServer::answer(503, "{}"), none, unknown },
        { "too large",
            ScriptedServer::answer(
                200, R"({"resource-version":1,"rows":[],"has-more":false})" + std::string(2000, ' ')),
            none, unknown },
        { "conflict without rows", ScriptedServer::answer(412, R"({"rows":[]})"), ErrorKind::Internal, none },
        { "conflict elsewhere",
            ScriptedServer::answer(
                412, R"({"rows":[{"table":"t","part":"","key":"x","value":"","resource-version":1}]})"),
            ErrorKind::Internal, none },
        { "too many calls", ScriptedServer::answer(429, "{}"), none, none },
        { "refused", ScriptedServer::answer(400, "no"), ErrorKind::Internal, ErrorKind::Internal },
    }));
    CAPTURE(example.name);
    ScriptedServer const server([&](auto const&) { return example.bytes; });
    Network network;
    HttpStoreOptions options;
    options.maxAnswerBytes = 1000;
    auto const store = network.store(server.port(), options);
    CHECK(kindOf(read(store, "t", "k")) == example.read);
    CHECK(kindOf(transact(store, { put("k", 0, "v") })) == example.write);
}

// Compares the bytes on the wire, which are the contract with the real platform. A test against FakePlatform alone
// would pass even if client and fake misread the protocol in the same way.
TEST_CASE("RowStore_Transaction_IsWrittenAsTheProtocolSays")
{
    ScriptedServer const server([](auto const&) { return ScriptedServer::answer(200, R"({"resource-version":5})"); });
    Network network;
    auto const result = transact(
        network.store(server.port()), { put("k", 0, "v"), { Operation::Kind::Check, "t 2", "x", anyVersion } });
    CHECK(Core::valueOf(result).versions == std::vector<uint64_t> { 5, 0 });
    auto const request = server.requests().at(0);
    CHECK_THAT(request, Catch::Matchers::StartsWith("POST /rows-tx HTTP/1.1\r\n"));
    CHECK_THAT(request,
        Catch::Matchers::EndsWith(R"({"precondition":[{"table":"t","part":"","key":"k","resource-version":0}],)"
                                  R"("puts":[{"table":"t","part":"","key":"k","value":"dg=="}],"deletes":[]})"));
}

// All responses are lost, so the client learns the outcome by reading the change's own row.
TEST_CASE("ApplyChange_OverHttpWithLostAnswers_IsAcceptedOnce")
{
    PlatformProcess platform;
    platform.control(R"({"mode":"lose_answers"})");
    auto const result = Tests::apply(platform.store(), { "c1", Tests::settingsText(), {} });
    REQUIRE_FALSE(Core::isError(result));
    CHECK(Core::valueOf(result).outcome == ApplyResult::Outcome::Accepted);
    CHECK(Core::valueOf(result).revision.revision == 1);
    CHECK_THAT(platform.control(R"({"mode":"up"})"), Catch::Matchers::Contains(R"("writes":1,)"));
}
