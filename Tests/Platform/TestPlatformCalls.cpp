#include <FakePlatform/PlatformCalls.h>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

using namespace Comfreysail;
using namespace Comfreysail::Fakes;
using namespace std::chrono_literals;

namespace {

/// Calls FakePlatform's request handling without a network. FakePlatform must behave as the users' platform does, or
/// the tests that use it prove nothing.
struct PlatformCallsFixture {
    PlatformCalls calls { CallRates { 3, 4 } };
    PlatformCalls::Clock::time_point now {};

    PlatformCalls::Answer call(std::string const& method, std::string const& target, std::string const& body = {},
        CallerRole role = CallerRole::Operator)
    {
        return calls.run(method, target, body, role, now, true).value();
    }

    uint64_t write(std::string const& table, std::string const& key)
    {
        Platform::RowTransaction transaction;
        transaction.puts.push_back({ "", key, "v", 0, table });
        auto const answer = call("POST", "/rows-tx", Platform::transactionRequest(transaction, {}).body);
        return valueOf(Platform::decodeCommittedRevision(answer.body));
    }
};

}

TEST_CASE_METHOD(PlatformCallsFixture, "PlatformCalls_FeedAfterHistoryDrop_AnswersGone")
{
    auto const first = write("t", "a");
    auto const second = write("t", "b");
    write("other", "x");
    auto const after = "/rows-feed?table=t&after=" + std::to_string(first);
    auto const changes = Platform::decodeRowPage(call("GET", after).body);
    REQUIRE(valueOf(changes).rows.size() == 1);
    CHECK(valueOf(changes).rows[0].revision == second);
    CHECK(calls.run("GET", "/rows-feed?table=t&after=99", "", CallerRole::Operator, now, false) == std::nullopt);
    calls.dropHistory();
    CHECK(call("GET", after).status == 410);
}

TEST_CASE_METHOD(PlatformCallsFixture, "PlatformCalls_DeletedRow_IsATombstoneInTheFeed")
{
    auto const first = write("t", "a");
    Platform::RowTransaction transaction;
    transaction.deletes.push_back({ "", "a", "", 0, "t" });
    CHECK(call("POST", "/rows-tx", Platform::transactionRequest(transaction, {}).body).status == 200);
    auto const answer = call("GET", "/rows-feed?table=t&after=" + std::to_string(first));
    CHECK_THAT(answer.body, Catch::Matchers::Contains(R"("tombstone":true)"));
}

TEST_CASE_METHOD(PlatformCallsFixture, "PlatformCalls_TablesOfOperatorsAndTargets_AreReadOnlyForTheSystem")
{
    auto const table = GENERATE(std::string("op"), std::string("servers"));
    Platform::RowTransaction transaction;
    transaction.puts.push_back({ "", "a", "v", 0, table });
    auto const body = Platform::transactionRequest(transaction, {}).body;
    CHECK(call("POST", "/rows-tx", body, CallerRole::System).status == 403);
    CHECK(call("POST", "/rows-tx", body).status == 200);
}

TEST_CASE_METHOD(PlatformCallsFixture, "PlatformCalls_BeyondTheRate_AreRefusedUntilTheNextSecond")
{
    auto const read = [&] { return call("GET", "/rows-get?table=t", "", CallerRole::System).status; };
    for (int count = 0; count < 4; ++count)
        CHECK(read() == 200);
    CHECK(read() == 429);
    now += 1s;
    CHECK(read() == 200);
}
