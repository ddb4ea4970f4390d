#include <LibTraffic/AnswerRule.h>

namespace Comfreysail::Traffic {

namespace {

constexpr unsigned misdirected = 421;
constexpr unsigned firstSuccess = 200;
constexpr unsigned firstRedirect = 300;
constexpr unsigned firstServerError = 500;

}

std::string_view verdictName(AnswerVerdict verdict)
{
    switch (verdict) {
    case AnswerVerdict::Deliver:
        return "deliver";
    case AnswerVerdict::NotRun:
        return "not_run";
    case AnswerVerdict::OtherTarget:
        return "other_target";
    case AnswerVerdict::Failed:
        return "failed";
    case AnswerVerdict::Foreign:
        return "foreign";
    case AnswerVerdict::Invalid:
        break;
    }
    return "invalid";
}

bool impliesNotRun(unsigned status) { return status == 408 || status == misdirected || status == 429 || status == 503; }

AnswerVerdict judgeAnswer(AnswerFacts const& facts)
{
    if (facts.status == misdirected)
        return AnswerVerdict::OtherTarget;
    if (facts.saysNotRun)
        return AnswerVerdict::NotRun;
    if (!facts.isForThisRequest)
        return AnswerVerdict::Foreign;
    bool const isSuccess = facts.status >= firstSuccess && facts.status < firstRedirect;
    if (isSuccess)
        return facts.hasSignature && !facts.isEncoded ? AnswerVerdict::Deliver : AnswerVerdict::Invalid;
    // Forwarding this status would tell the caller that the request did not run, although the target did not state
    // that.
    if (impliesNotRun(facts.status))
        return AnswerVerdict::Invalid;
    return facts.status >= firstServerError ? AnswerVerdict::Failed : AnswerVerdict::Deliver;
}

}
