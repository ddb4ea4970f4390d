#include <LibTraffic/Traffic.h>
#include <catch2/catch.hpp>

using namespace Comfreysail::Traffic;

namespace {

struct AnswerCase {
    std::string name;
    AnswerFacts facts;
    AnswerVerdict verdict;
};

}

// A wrong verdict loses a request, runs it twice, or gives the caller a response that is not the target's answer to it.
TEST_CASE("JudgeAnswer_EachKindOfResponse_GivesItsVerdict")
{
    // The fields are: status, saysNotRun, hasSignature, isForThisRequest, isEncoded.
    auto const example = GENERATE(values<AnswerCase>({
        { "success", { 200, false, true, true, false }, AnswerVerdict::Deliver },
        { "success without signature", { 200, false, false, true, false }, AnswerVerdict::Invalid },
        { "success with an encoded body", { 200, false, true, true, true }, AnswerVerdict::Invalid },
        { "success of another request", { 200, false, true, false, false }, AnswerVerdict::Foreign },
        { "client error", { 404, false, true, true, false }, AnswerVerdict::Deliver },
        { "server error", { 500, false, true, true, false }, AnswerVerdict::Failed },
        { "deadline passed while it ran", { 504, false, true, true, false }, AnswerVerdict::Failed },
        { "shed", { 503, true, false, false, false }, AnswerVerdict::NotRun },
        { "shed, with the id of this request", { 429, true, false, true, false }, AnswerVerdict::NotRun },
        { "refused, without a request id", { 400, true, false, false, false }, AnswerVerdict::NotRun },
        { "address belongs to another target", { 421, false, false, false, false }, AnswerVerdict::OtherTarget },
        { "503 that does not say it did not run", { 503, false, true, true, false }, AnswerVerdict::Invalid },
        { "429 that does not say it did not run", { 429, false, true, true, false }, AnswerVerdict::Invalid },
    }));
    CAPTURE(example.name);
    CHECK(judgeAnswer(example.facts) == example.verdict);
}
