#include <LibTraffic/RetryAllowance.h>

#include <algorithm>

namespace Comfreysail::Traffic {

RetryAllowance::RetryAllowance(RetryAllowanceOptions options)
    : m_options(options)
{
}

double& RetryAllowance::tokensOf(std::string_view service)
{
    auto const found = m_tokens.find(service);
    if (found != m_tokens.end())
        return found->second;
    return m_tokens.emplace(service, m_options.burst).first->second;
}

void RetryAllowance::noteFirstSend(std::string_view service)
{
    // Tokens beyond a few are not saved up: a long quiet time must not pay for a later burst of repeated sends.
    auto const most = std::max(m_options.burst, 1 + m_options.earnedPerRequest);
    auto& tokens = tokensOf(service);
    tokens = std::min(tokens + m_options.earnedPerRequest, most);
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
