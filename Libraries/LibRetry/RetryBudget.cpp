#include <LibRetry/RetryBudget.h>
#include <algorithm>

namespace Comfreysail::Retry {

RetryBudget::RetryBudget(RetryBudgetLimits limits)
    : m_limits(limits)
    , m_tokens(std::min(limits.initialTokens, limits.maxTokens))
{
}

void RetryBudget::noteCall() { m_tokens = std::min(m_tokens + m_limits.tokensPerCall, m_limits.maxTokens); }

bool RetryBudget::tryTake()
{
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

void RetryBudget::setLimits(RetryBudgetLimits limits)
{
    m_limits = limits;
    m_tokens = std::min(m_tokens, m_limits.maxTokens);
}

}
