#include "ClaimModel.h"
#include <catch2/catch.hpp>

using namespace Comfreysail;
using namespace Comfreysail::Claims;

// Two holders race for one key, with lost answers, delayed writes, a crash and store failures. The request must not run
// twice.
TEST_CASE("ClaimModel_TwoHolders_EveryInterleaving_RunsAtMostOnce")
{
    ClaimModel model({ .holders = 2, .lostAnswers = 2, .storeFailures = 1, .crashes = 1 });
    auto const violation = model.explore();
    CHECK(violation == std::nullopt);
    CHECK(model.stateCount() > 10000);
}

// A third holder can read the row between two writes of the others.
TEST_CASE("ClaimModel_ThreeHolders_EveryInterleaving_RunsAtMostOnce")
{
    ClaimModel model({ .holders = 3, .lostAnswers = 1, .storeFailures = 0, .crashes = 0 });
    CHECK(model.explore() == std::nullopt);
    CHECK(model.stateCount() > 10000);
}

// A holder that resumes after its row was deleted must not run the request.
TEST_CASE("ClaimModel_ExpiredRow_PausedHolderResumes_DoesNotRun")
{
    ClaimModel model({ .holders = 2, .lostAnswers = 1, .storeFailures = 0, .crashes = 1, .clockAdvances = true });
    CHECK(model.explore() == std::nullopt);
}

struct InjectedFaultCase {
    std::string name;
    ModelLimits limits;
};

ClaimStep takeOverClaimedRow(ClaimState const& state, ClaimEvent const& event, Core::WallTime now)
{
    auto const* conflicted = std::get_if<WriteConflicted>(&event);
    if (!conflicted || !conflicted->found || conflicted->found->row.state != RowState::Claimed)
        return nextStep(state, event, now);
    auto released = *conflicted;
    released.found->row.state = RowState::Released;
    return nextStep(state, released, now);
}

ClaimStep trustLostAnswer(ClaimState const& state, ClaimEvent const& event, Core::WallTime now)
{
    if (state.phase == ClaimPhase::Inserting && std::holds_alternative<CommitAnswerLost>(event))
        return nextStep(state, WriteCommitted { 1 }, now);
    return nextStep(state, event, now);
}

ClaimStep releaseUnknown(ClaimState const& state, ClaimEvent const& event, Core::WallTime now)
{
    if (!std::holds_alternative<SendOutcomeUnknown>(event))
        return nextStep(state, event, now);
    return nextStep(nextStep(state, SendDidNotRun {}, now).state, GaveUp {}, now);
}

ClaimStep sendAfterRefusal(ClaimState const& state, ClaimEvent const& event, Core::WallTime now)
{
    auto step = nextStep(state, event, now);
    if (std::holds_alternative<WaitEnded>(event))
        step.state.isAnswered = false;
    return step;
}

// The model must detect each of these faults. Otherwise a run without a violated rule would prove nothing.
TEST_CASE("ClaimModel_InjectedFault_IsDetected")
{
    ModelLimits const limits { .holders = 2, .lostAnswers = 1, .storeFailures = 0, .crashes = 1 };
    auto const withStep = [&](StepFunction step) {
        auto faulty = limits;
        faulty.step = std::move(step);
        return faulty;
    };
    auto withoutStartBy = limits;
    withoutStartBy.clockAdvances = true;
    withoutStartBy.targetEnforcesStartBy = false;
    auto const testCase = GENERATE_COPY(values<InjectedFaultCase>({
        { "a claimed row is taken over", withStep(takeOverClaimedRow) },
        { "a lost answer counts as committed", withStep(trustLostAnswer) },
        { "an unknown outcome is released", withStep(releaseUnknown) },
        { "a refused request is sent later", withStep(sendAfterRefusal) },
        { "targets ignore the start-by time", withoutStartBy },
    }));
    CAPTURE(testCase.name);
    CHECK(ClaimModel(testCase.limits).explore().has_value());
}
