#include <LibTraffic/RetryAllowance.h>

#include <algorithm>

namespace Comfreysail::Traffic {

namespace {

// Parts of the budget that are used. The rest covers daemons that start with a full allowance in the same window and
// windows that begin between two requests.
constexpr double usedPartOfRatio = 0.75;
constexpr double usedPartOfSlack = 0.8;
// Daemons that were added and are not known yet.
constexpr double unknownDaemons = 4;
constexpr double assumedDaemons = 100;

}

RetryAllowance::RetryAllowance(double ratio, double slack)
    : m_earnedPerRequest(ratio * usedPartOfRatio)
    , m_slack(slack)
    , m_burst(slack * usedPartOfSlack / assumedDaemons)
{
}

void RetryAllowance::setDaemons(size_t count)
{
    if (count > 0)
        m_burst = m_slack * usedPartOfSlack / (static_cast<double>(count) + unknownDaemons);
}

double& RetryAllowance::tokensOf(std::string_view service)
{
    auto const found = m_tokens.find(service);
    if (found != m_tokens.end())
        return found->second;
    return m_tokens.emplace(service, m_burst).first->second;
}

void RetryAllowance::noteFirstSend(std::string_view service)
{
    // Tokens beyond a few are not saved up: a long quiet time must not pay for a later burst of repeated sends.
    auto const most = std::max(m_burst, 1 + m_earnedPerRequest);
    auto& tokens = tokensOf(service);
    tokens = std::min(tokens + m_earnedPerRequest, most);
}

bool RetryAllowance::tryTake(std::string_view service)
{
    auto& tokens = tokensOf(service);
    if (tokens < 1)
        return false;
    tokens -= 1;
    return true;
}

}
