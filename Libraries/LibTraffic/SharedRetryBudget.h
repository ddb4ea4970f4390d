#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace Comfreysail::Traffic {

/// Limits the retries of this daemon for each service, so that all daemons together stay within one retry budget
/// without coordination. The budget is a ratio of the requests plus a fixed number of retries (the slack), which is
/// divided evenly among the daemons.
class SharedRetryBudget {
public:
    /// `ratio` and `slack` are the budget of all daemons together within the budget's time window.
    SharedRetryBudget(double ratio, double slack);

    /// Replaces the budget. Tokens that were already earned are kept.
    void setBudget(double ratio, double slack);
    /// Sets the number of known daemons; 0 if none is known.
    void setDaemons(size_t count);

    void noteFirstSend(std::string_view service);
    /// Takes one token for a retry. Returns false, and takes nothing, if the service has less than one token left.
    bool tryTake(std::string_view service);

    /// Retries that this daemon may make now, by service.
    std::map<std::string, double, std::less<>> const& tokensLeft() const { return m_tokens; }

private:
    double& tokensOf(std::string_view service);
    double usableSlack() const;

    double m_tokensPerRequest;
    double m_slack;
    size_t m_daemons { 0 }; ///< Known daemons; 0 before any is known.
    /// Initial tokens of a service, and the most that it saves up (but always enough for one retry).
    double m_burst { 0 };
    std::map<std::string, double, std::less<>> m_tokens;
};

}
