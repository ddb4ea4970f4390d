#pragma once

#include <LibRetry/Retry.h>
#include <map>
#include <mutex>
#include <string>

namespace Comfreysail::Daemon {

/// The retry budgets by service and the quarantine of this daemon. Thread safe; lock level "retry table" of design.md.
class RetryTable {
public:
    /// Counts a call of the service. `retryPercent`: retries allowed per 100 calls.
    void noteCall(std::string const& service, unsigned retryPercent);
    Retry::RetryDecision decide(std::string const& service, Retry::FailedAttempt const&, Core::Instant now);

    void noteCrash(Retry::CrashReport const&, Core::Instant now);
    void noteAnswered(uint64_t fingerprint, Core::Instant sentAt, Core::Instant now);
    bool isQuarantined(uint64_t fingerprint, Core::Instant now) const;
    bool isSuspect(uint64_t fingerprint, Core::Instant now) const;
    std::vector<Retry::QuarantineEntry> quarantine(Core::Instant now) const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, Retry::RetryBudget, std::less<>> m_budgets;
    Retry::Quarantine m_quarantine;
};

}
