#include "RetryTable.h"

namespace Comfreysail::Daemon {

void RetryTable::noteCall(std::string const& service, unsigned retryPercent)
{
    std::lock_guard const lock(m_mutex);
    auto& budget = m_budgets[service];
    Retry::RetryBudgetLimits limits;
    limits.tokensPerCall = retryPercent / 100.0;
    budget.setLimits(limits);
    budget.noteCall();
}

Retry::RetryDecision RetryTable::decide(
    std::string const& service, Retry::FailedAttempt const& attempt, Core::Instant now)
{
    std::lock_guard const lock(m_mutex);
    return Retry::decideRetry(attempt, m_budgets[service], now);
}

void RetryTable::noteCrash(Retry::CrashReport const& report, Core::Instant now)
{
    std::lock_guard const lock(m_mutex);
    m_quarantine.noteCrash(report, now);
}

void RetryTable::noteAnswered(uint64_t fingerprint, Core::Instant sentAt, Core::Instant now)
{
    std::lock_guard const lock(m_mutex);
    m_quarantine.noteAnswered(fingerprint, sentAt, now);
}

bool RetryTable::isQuarantined(uint64_t fingerprint, Core::Instant now) const
{
    std::lock_guard const lock(m_mutex);
    return m_quarantine.isRefused(fingerprint, now);
}

bool RetryTable::isSuspect(uint64_t fingerprint, Core::Instant now) const
{
    std::lock_guard const lock(m_mutex);
    return m_quarantine.isSuspect(fingerprint, now);
}

std::vector<Retry::QuarantineEntry> RetryTable::quarantine(Core::Instant now) const
{
    std::lock_guard const lock(m_mutex);
    return m_quarantine.entries(now);
}

}
