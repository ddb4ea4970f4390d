#include <LibRetry/Retry.h>
#include <catch2/catch.hpp>
#include <random>

using namespace Comfreysail;
using namespace Comfreysail::Retry;
using Core::ErrorKind;

namespace {

Core::Instant at(int milliseconds) { return Core::Instant(std::chrono::milliseconds(milliseconds)); }

struct DecisionCase {
    std::string_view name;
    FailedAttempt failed;
    RetryReason expected;
};

FailedAttempt failedWith(ErrorKind error, bool isIdempotent)
{
    return { .error = error,
        .isIdempotent = isIdempotent,
        .deadline = at(1000),
        .expectedTime = std::chrono::milliseconds(10) };
}

std::vector<DecisionCase> decisionCases()
{
    std::vector<DecisionCase> cases {
        { "order after connect failure", failedWith(ErrorKind::ConnectFailed, false), RetryReason::Allowed },
        { "order shed by the target", failedWith(ErrorKind::TargetShedRequest, false), RetryReason::Allowed },
        { "order after lost connection", failedWith(ErrorKind::ConnectionLost, false), RetryReason::NotIdempotent },
        { "lookup after lost connection", failedWith(ErrorKind::ConnectionLost, true), RetryReason::Allowed },
        { "lookup after its deadline", failedWith(ErrorKind::DeadlineExceeded, true), RetryReason::ErrorNotRetryable },
        { "quarantined lookup", failedWith(ErrorKind::RequestQuarantined, true), RetryReason::ErrorNotRetryable },
    };
    auto lookup = failedWith(ErrorKind::ConnectionLost, true);
    auto with = [&](std::string_view name, RetryReason expected, auto change) {
        auto failed = lookup;
        change(failed);
        cases.push_back({ name, failed, expected });
    };
    with("third failure", RetryReason::TooManyAttempts, [](auto& failed) { failed.attempt = 3; });
    with("second failure", RetryReason::Allowed, [](auto& failed) { failed.attempt = 2; });
    with("streamed body", RetryReason::BodyNotReplayable, [](auto& failed) { failed.isBodyReplayable = false; });
    with("answer started", RetryReason::AnswerStarted, [](auto& failed) { failed.hasAnswerStarted = true; });
    with("deeper layer", RetryReason::DeeperLayerDecided, [](auto& failed) { failed.isFromDeeperLayer = true; });
    with("deadline near", RetryReason::DeadlineTooNear, [](auto& failed) { failed.deadline = at(5); });
    return cases;
}

}

// Guards against running a non-idempotent request twice and against retries that cannot succeed.
TEST_CASE("DecideRetry_EachFailure_HasItsReason")
{
    for (auto const& example : decisionCases()) {
        CAPTURE(example.name);
        RetryBudget budget;
        auto const decision = decideRetry(example.failed, budget, at(0));
        CHECK(decision.reason == example.expected);
        CHECK(decision.shouldRetry == (example.expected == RetryReason::Allowed));
        CHECK(budget.tokens() == Approx(example.expected == RetryReason::Allowed ? 1 : 2));
    }
}

// If all targets of a zone fail, retries within the zone would use up all retries of a request.
TEST_CASE("DecideRetry_ZoneIsSuspect_LeavesTheZone")
{
    RetryBudget budget;
    auto failed = failedWith(ErrorKind::ConnectFailed, true);
    CHECK_FALSE(decideRetry(failed, budget, at(0)).shouldLeaveZone);
    failed.isZoneSuspect = true;
    CHECK(decideRetry(failed, budget, at(0)).shouldLeaveZone);
}

// Without a budget every failing call would be sent three times, and with calls nested 11 levels deep that multiplies.
TEST_CASE("RetryBudget_EveryCallFailing_SendsStayWithin120Percent")
{
    constexpr int calls = 1000;
    RetryBudget budget;
    int sends = 0;
    for (int call = 0; call < calls; ++call) {
        budget.noteCall();
        ++sends;
        auto failed = failedWith(ErrorKind::ConnectionLost, true);
        while (decideRetry(failed, budget, at(0)).shouldRetry) {
            ++sends;
            ++failed.attempt;
        }
    }
    CHECK(sends <= calls * 12 / 10);
    CHECK(sends > calls);
}

namespace {

struct NestedFailures {
    double rateAtDeepestLevel;
    double rateAtOtherLevels;
};

struct NestedCall {
    std::vector<RetryBudget>& budgets; // One budget per level.
    std::vector<long>& sends;
    std::mt19937& generator;
    NestedFailures failures;

    /// Returns true if the call at this level succeeds. Sets hasDeeperError if a daemon at this or a deeper level gave
    /// up.
    bool run(size_t level, bool& hasDeeperError)
    {
        budgets[level].noteCall();
        FailedAttempt failed = failedWith(ErrorKind::ConnectionLost, true);
        for (;;) {
            ++sends[level];
            bool const isDeepest = level + 1 == budgets.size();
            auto const failureRate = isDeepest ? failures.rateAtDeepestLevel : failures.rateAtOtherLevels;
            bool const failsHere = std::bernoulli_distribution(failureRate)(generator);
            bool childError = false;
            if (!failsHere && (isDeepest || run(level + 1, childError)))
                return true;
            failed.isFromDeeperLayer = !failsHere;
            if (!decideRetry(failed, budgets[level], at(0)).shouldRetry) {
                hasDeeperError = true;
                return false;
            }
            ++failed.attempt;
        }
    }
};

}

// If every level retried, the number of sends would grow exponentially with the depth. The worst case is that only the
// deepest level fails.
TEST_CASE("RetryBudget_ElevenLevelsEachFailing_SendsAtEveryLevelStayWithin120Percent")
{
    constexpr size_t depth = 11;
    constexpr long calls = 5000;
    auto const failures
        = GENERATE(values<NestedFailures>({ { 0.01, 0.01 }, { 0.2, 0.2 }, { 1, 1 }, { 0.5, 0 }, { 1, 0 } }));
    std::vector<RetryBudget> budgets(depth);
    std::vector<long> sends(depth, 0);
    std::mt19937 generator(7); // NOLINT: a fixed seed makes the run repeatable.
    NestedCall nested { budgets, sends, generator, failures };
    for (long call = 0; call < calls; ++call) {
        bool hasDeeperError = false;
        nested.run(0, hasDeeperError);
    }
    for (size_t level = 0; level < depth; ++level) {
        CAPTURE(failures.rateAtDeepestLevel, failures.rateAtOtherLevels, level, sends[level]);
        CHECK(sends[level] <= calls * 12 / 10);
    }
}
