#include <LibCore/Core.h>
#include <catch2/catch.hpp>
#include <set>

using namespace Comfreysail::Core;

// A new kind without a complete row would answer callers with an empty name or an invalid status.
TEST_CASE("ErrorRules_EveryKind_HasNameStatusAndMessage")
{
    std::set<std::string_view> names;
    for (auto const& rule : errorRules()) {
        CAPTURE(rule.name);
        CHECK_FALSE(rule.name.empty());
        CHECK_FALSE(rule.message.empty());
        CHECK(rule.status >= 400);
        CHECK(rule.status <= 599);
        names.insert(rule.name);
    }
    CHECK(names.size() == errorKindCount);
}

// A retry of a request that may have run would break at-most-once for non-idempotent requests.
TEST_CASE("ErrorRules_RetryAlways_OnlyWhereRequestDidNotRun")
{
    for (auto const& rule : errorRules()) {
        CAPTURE(rule.name);
        if (rule.retry == RetryRule::Always)
            CHECK(rule.outcome == RequestOutcome::NotRun);
        if (rule.retry == RetryRule::IfIdempotent)
            CHECK(rule.outcome == RequestOutcome::Unknown);
    }
}

// The kinds that can arise after bytes were sent must never be reported as "not run".
TEST_CASE("ErrorRules_KindsAfterSend_ReportUnknownOutcome")
{
    for (auto kind : { ErrorKind::ConnectionLost, ErrorKind::DeadlineExceeded, ErrorKind::InvalidTargetAnswer,
             ErrorKind::ClaimInProgress, ErrorKind::ClaimOutcomeUnknown, ErrorKind::Internal }) {
        CAPTURE(errorName(kind));
        CHECK(errorRule(kind).outcome == RequestOutcome::Unknown);
    }
}
