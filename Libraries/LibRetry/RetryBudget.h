#pragma once

#include <LibCore/Core.h>

namespace Comfreysail::Retry {

/// Limits of a retry budget.
struct RetryBudgetLimits {
    double tokensPerCall { 0.1 }; ///< Tokens earned by each call. 0.1 keeps sends within 1.1 times the calls.
    double initialTokens { 2 };   ///< Allows retries of the first calls of a service with little traffic.
    double maxTokens { 100 };     ///< Limits the burst of retries after a long time without failures.

    bool operator==(RetryBudgetLimits const&) const = default;
};

/// A token bucket that limits the retries of one service. Tokens are earned by calls, not by time, so the ratio of
/// sends to calls is limited at every call rate.
class RetryBudget {
public:
    explicit RetryBudget(RetryBudgetLimits = {});

    /// Counts the first send of a request.
    void noteCall();

    /// Takes one token for a retry. Returns false, and takes nothing, if less than one token is left.
    bool tryTake();

    double tokens() const { return m_tokens; }

    /// Applies changed limits and reduces the tokens to the new maximum if necessary.
    void setLimits(RetryBudgetLimits);

private:
    RetryBudgetLimits m_limits;
    double m_tokens;
};

}
