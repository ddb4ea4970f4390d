#include <LibTraffic/Traffic.h>
#include <catch2/catch.hpp>

using namespace Comfreysail;
using namespace Comfreysail::Traffic;

namespace {

class HistoryFixture {
public:
    void end(std::string const& version, MoveState state)
    {
        m_history = historyAfter(std::move(m_history), version, state);
    }
    std::string source(std::string const& toVersion) const { return sourceVersion(m_history, m_ready, toVersion); }

protected:
    VersionHistory m_history;
    std::map<std::string, unsigned, std::less<>> m_ready { { "v1", 7 }, { "v2", 8 }, { "v3", 8 } };
};

}

TEST_CASE_METHOD(HistoryFixture, "VersionHistory_FirstOrder_MostReadyTargetsAreTheSource")
{
    CHECK(source("v3") == "v2");
    CHECK(source("v2") == "v3");
}

// Guards against requests to a version that was rolled back, or whose move was replaced before it was completed.
TEST_CASE_METHOD(HistoryFixture, "VersionHistory_MoveNotCompleted_ItsVersionIsNoSource")
{
    end("v2", GENERATE(MoveState::RolledBack, MoveState::Running));
    CHECK(source("v3") == "v1");
    CHECK(source("v1") == "v3");
    m_ready.erase("v1");
    CHECK(source("v3").empty());
}

// Guards against requests to the targets of an older version, which stop when a move is completed but are still
// registered.
TEST_CASE_METHOD(HistoryFixture, "VersionHistory_MoveCompleted_ItsVersionIsTheSource")
{
    end("v2", MoveState::RolledBack);
    end("v2", MoveState::Completed);
    m_ready["v1"] = 20;
    CHECK(source("v3") == "v2");
    end("v3", MoveState::RolledBack);
    CHECK(source("v4") == "v2");
    m_ready.erase("v2");
    CHECK(source("v4") == "v1");
}

TEST_CASE_METHOD(HistoryFixture, "VersionHistory_OrderBackToTheCurrentVersion_KeepsIt")
{
    end("v1", MoveState::Completed);
    end("v2", MoveState::RolledBack);
    end("v1", MoveState::Running);
    CHECK(source("v3") == "v1");
}

TEST_CASE_METHOD(HistoryFixture, "VersionHistory_MergedWithTheSharedOne_KeepsAllRejectedVersions")
{
    end("v2", MoveState::RolledBack);
    end("v3", MoveState::Running);
    VersionHistory const shared { "v3", { "v0" } };
    CHECK(mergedHistory(m_history, shared) == VersionHistory { "v3", { "v2", "v0" } });
    CHECK(mergedHistory({}, shared) == shared);
}

TEST_CASE_METHOD(HistoryFixture, "MoveStart_ConvertedToTextAndBack_IsTheSame")
{
    end("v1", MoveState::Completed);
    end("v 2\n", MoveState::RolledBack);
    MoveStart const start { 17, std::chrono::milliseconds(12345), "v3", m_history };
    CHECK(parseMoveStart(moveStartText(start)) == start);
    CHECK(parseMoveStart("17 12345") == MoveStart { 17, std::chrono::milliseconds(12345), {}, {} });
    for (auto const* const text : { "", "17", "17 12345\n{", "17 12345\n[]", R"(17 12345
{"rejected":[1]})" })
        CHECK_FALSE(parseMoveStart(text));
}
