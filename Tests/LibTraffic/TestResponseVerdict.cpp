#include <LibTraffic/Traffic.h>
#include <catch2/catch.hpp>

using namespace Comfreysail::Traffic;

namespace {

struct AnswerCase {
    std::string name;
    ResponseFacts facts;
    ResponseVerdict verdict;
};

}

// A wrong verdict loses a request, runs it twice, or gives the caller a response that is not the target's answer to it.
TEST_CASE("ClassifyResponse_EachKindOfResponse_GivesItsVerdict")
{
    // The fields are: status, statesNotRun, hasSignature, isForThisRequest, isEncoded.
    auto const example = GENERATE(values<AnswerCase>({
        { "success", { 200, false, true, true, false }, ResponseVerdict::Deliver },
        { "success without signature", { 200, false, false, true, false }, ResponseVerdict::Invalid },
        { "success with an encoded body", { 200, false, true, true, true }, ResponseVerdict::Invalid },
        { "success of another request", { 200, false, true, false, false }, ResponseVerdict::Foreign },
        { "client error", { 404, false, true, true, false }, ResponseVerdict::Deliver },
        { "server error", { 500, false, true, true, false }, ResponseVerdict::Failed },
        { "deadline passed while it ran", { 504, false, true, true, false }, ResponseVerdict::Failed },
        { "shed", { 503, true, false, false, false }, ResponseVerdict::NotRun },
        { "shed, with the id of this request", { 429, true, false, true, false }, ResponseVerdict::NotRun },
        { "refused, without a request id", { 400, true, false, false, false }, ResponseVerdict::NotRun },
        { "address belongs to another target", { 421, false, false, false, false }, ResponseVerdict::OtherTarget },
        { "503 that does not say it did not run", { 503, false, true, true, false }, ResponseVerdict::Invalid },
        { "429 that does not say it did not run", { 429, false, true, true, false }, ResponseVerdict::Invalid },
    }));
    CAPTURE(example.name);
    CHECK(classifyResponse(example.facts) == example.verdict);
}
