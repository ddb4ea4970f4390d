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
    constexpr auto own = ResponseId::OfThisRequest;
    constexpr auto other = ResponseId::OfAnotherRequest;
    constexpr auto none = ResponseId::None;
    // The fields are: status, statesNotRun, hasSignature, id, isEncoded, isConnectionReused.
    auto const example = GENERATE_COPY(values<AnswerCase>({
        { "success", { 200, false, true, own, false, false }, ResponseVerdict::Deliver },
        { "success without signature", { 200, false, false, own, false, false }, ResponseVerdict::Invalid },
        { "success with an encoded body", { 200, false, true, own, true, false }, ResponseVerdict::Invalid },
        { "success of another request", { 200, false, true, other, false, false }, ResponseVerdict::Foreign },
        { "success without an id", { 200, false, true, none, false, false }, ResponseVerdict::Foreign },
        { "client error", { 404, false, true, own, false, false }, ResponseVerdict::Deliver },
        { "server error", { 500, false, true, own, false, false }, ResponseVerdict::Failed },
        { "deadline passed while it ran", { 504, false, true, own, false, false }, ResponseVerdict::Failed },
        { "shed", { 503, true, false, own, false, true }, ResponseVerdict::NotRun },
        { "shed, without a request id", { 503, true, false, none, false, false }, ResponseVerdict::NotRun },
        { "shed, too many requests", { 429, true, false, own, false, false }, ResponseVerdict::NotRun },
        { "refused, without a request id", { 400, true, false, none, false, false }, ResponseVerdict::NotRun },
        { "misdirected, without a request id", { 421, false, false, none, false, false },
            ResponseVerdict::OtherTarget },
        { "misdirected", { 421, false, false, own, false, true }, ResponseVerdict::OtherTarget },
        { "503 that does not say it did not run", { 503, false, true, own, false, false }, ResponseVerdict::Invalid },
        { "429 that does not say it did not run", { 429, false, true, own, false, false }, ResponseVerdict::Invalid },
        // Late second copies of responses to earlier exchanges on the connection, while this request runs.
        { "another request was shed", { 503, true, false, other, false, true }, ResponseVerdict::Foreign },
        { "another request was misdirected", { 421, false, false, other, false, true }, ResponseVerdict::Foreign },
        { "another request failed", { 500, false, true, other, false, true }, ResponseVerdict::Foreign },
        { "perhaps another one was shed", { 503, true, false, none, false, true }, ResponseVerdict::Invalid },
        { "perhaps another one was misdirected", { 421, false, false, none, false, true }, ResponseVerdict::Invalid },
        { "perhaps another one was refused", { 400, true, false, none, false, true }, ResponseVerdict::Invalid },
    }));
    CAPTURE(example.name);
    CHECK(classifyResponse(example.facts) == example.verdict);
}
