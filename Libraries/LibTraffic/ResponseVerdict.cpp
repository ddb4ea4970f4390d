#include <LibTraffic/ResponseVerdict.h>

namespace Comfreysail::Traffic {

namespace {

constexpr unsigned misdirected = 421;
constexpr unsigned firstSuccess = 200;
constexpr unsigned firstRedirect = 300;
constexpr unsigned firstServerError = 500;

}

std::string_view verdictName(ResponseVerdict verdict)
{
    switch (verdict) {
    case ResponseVerdict::Deliver:
        return "deliver";
    case ResponseVerdict::NotRun:
        return "not_run";
    case ResponseVerdict::OtherTarget:
        return "other_target";
    case ResponseVerdict::Failed:
        return "failed";
    case ResponseVerdict::Foreign:
        return "foreign";
    case ResponseVerdict::Invalid:
        break;
    }
    return "invalid";
}

bool impliesNotRun(unsigned status) { return status == 408 || status == misdirected || status == 429 || status == 503; }

ResponseVerdict classifyResponse(ResponseFacts const& facts)
{
    if (facts.id == ResponseId::OfAnotherRequest)
        return ResponseVerdict::Foreign;
    bool const isMisdirected = facts.status == misdirected;
    if (isMisdirected || facts.statesNotRun) {
        // On a connection that was used before, a response without an id may be a late second copy of the response to
        // an earlier exchange, while this request runs.
        if (facts.id == ResponseId::None && facts.isConnectionReused)
            return ResponseVerdict::Invalid;
        return isMisdirected ? ResponseVerdict::OtherTarget : ResponseVerdict::NotRun;
    }
    if (facts.id == ResponseId::None)
        return ResponseVerdict::Foreign;
    bool const isSuccess = facts.status >= firstSuccess && facts.status < firstRedirect;
    if (isSuccess)
        return facts.hasSignature && !facts.isEncoded ? ResponseVerdict::Deliver : ResponseVerdict::Invalid;
    // Forwarding this status would tell the caller that the request did not run, although the target did not state
    // that.
    if (impliesNotRun(facts.status))
        return ResponseVerdict::Invalid;
    return facts.status >= firstServerError ? ResponseVerdict::Failed : ResponseVerdict::Deliver;
}

}
