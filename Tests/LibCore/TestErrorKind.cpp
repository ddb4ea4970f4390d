#include <LibCore/Core.h>
#include <catch2/catch.hpp>
#include <set>

using namespace Comfreysail::Core;

// An error kind with an incomplete row would give callers an empty error name or an invalid status.
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

// Retrying a request that may have run would break at-most-once execution of non-idempotent requests.
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

// Errors that can occur after bytes were sent must not be reported as "not-run": the target may have run the request.
TEST_CASE("ErrorRules_KindsAfterSend_ReportUnknownOutcome")
{
    for (auto kind : { ErrorKind::ConnectionLost, ErrorKind::DeadlineExceeded, ErrorKind::InvalidTargetAnswer,
             ErrorKind::ClaimInProgress, ErrorKind::ClaimOutcomeUnknown, ErrorKind::Internal }) {
        CAPTURE(errorName(kind));
        CHECK(errorRule(kind).outcome == RequestOutcome::Unknown);
    }
}
