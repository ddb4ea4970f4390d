#include <LibTraffic/SharedRetryBudget.h>

#include <algorithm>

namespace Comfreysail::Traffic {

namespace {

// Fractions of the budget that are used. The rest covers daemons that start with a full budget in the same window,
// and windows that begin between two requests.
constexpr double usedFractionOfRatio = 0.75;
constexpr double usedFractionOfSlack = 0.8;
// Margin for daemons that were added but are not known yet.
constexpr double unknownDaemons = 4;
// Before the members are known, the slack is divided by this number and a daemon gets at most this burst: enough to
// retry a first failure, and within the slack of a system in which a hundred daemons start together.
constexpr double assumedDaemons = 20;
constexpr double maxBurstWithoutMembers = 1.5;

}

SharedRetryBudget::SharedRetryBudget(double ratio, double slack)
    : m_tokensPerRequest(ratio * usedFractionOfRatio)
    , m_slack(slack)
{
    setDaemons(0);
}

void SharedRetryBudget::setBudget(double ratio, double slack)
{
    m_tokensPerRequest = ratio * usedFractionOfRatio;
    m_slack = slack;
    setDaemons(m_daemons);
}

void SharedRetryBudget::setDaemons(size_t count)
{
    m_daemons = count;
    auto const all = usableSlack();
    m_burst = count > 0 ? all / (static_cast<double>(count) + unknownDaemons)
                        : std::min(maxBurstWithoutMembers, all / assumedDaemons);
}

double SharedRetryBudget::usableSlack() const { return m_slack * usedFractionOfSlack; }

double& SharedRetryBudget::tokensOf(std::string_view service)
{
    auto const found = m_tokens.find(service);
    if (found != m_tokens.end())
        return found->second;
    return m_tokens.emplace(service, m_burst).first->second;
}

void SharedRetryBudget::noteFirstSend(std::string_view service)
{
    // The number of saved tokens is limited, so that a long quiet period does not pay for a later burst of retries.
    auto const most = std::max(m_burst, 1 + m_tokensPerRequest);
    auto& tokens = tokensOf(service);
    tokens = std::min(tokens + m_tokensPerRequest, most);
}

bool SharedRetryBudget::tryTake(std::string_view service)
{
    auto& tokens = tokensOf(service);
    if (tokens < 1)
        return false;
    tokens -= 1;
    return true;
}

}
