#pragma once

#include <LibCore/Core.h>

namespace Comfreysail::Retry {

/// Limits of a retry budget.
struct RetryBudgetLimits {
    double tokensPerCall { 0.1 }; ///< Retries earned by each first send. 0.1 keeps sends within 1.1 times calls.
    double initialTokens { 2 };   ///< Lets the first calls of a quiet service be retried.
    double maxTokens { 100 };     ///< Bounds the burst of retries after a long time without failures.

    bool operator==(RetryBudgetLimits const&) const = default;
};

/// A token bucket that bounds the retries of one service. Tokens are earned by calls and not by time, so the ratio of
/// sends to calls is bounded at every rate of calls.
class RetryBudget {
public:
    explicit RetryBudget(RetryBudgetLimits = {});

    /// Counts the first send of a request.
    void noteCall();

    /// Takes one token for a retry. Returns false, and takes nothing, when less than one token is left.
    bool tryTake();

    double tokens() const { return m_tokens; }

    /// Applies changed limits and keeps the tokens within the new maximum.
    void setLimits(RetryBudgetLimits);

private:
    RetryBudgetLimits m_limits;
    double m_tokens;
};

}
