#pragma once

#include <map>
#include <string>
#include <string_view>

namespace Comfreysail::Traffic {

struct RetryAllowanceOptions {
    /// Retries earned by each first send; below the allowed ratio, so that rounding cannot exceed it.
    double earnedPerRequest { 0.15 };
    /// What one daemon may send beyond what it earned; the sum over all daemons must stay within the allowed slack.
    double burst { 1.5 };

    bool operator==(RetryAllowanceOptions const&) const = default;
};

/// Bounds the repeated sends of this daemon for each service, so that those of all daemons together stay within one
/// budget although they do not ask each other.
class RetryAllowance {
public:
    explicit RetryAllowance(RetryAllowanceOptions = {});

    void noteFirstSend(std::string_view service);
    /// False, and nothing is taken, when the service has less than one repeated send left.
    bool tryTake(std::string_view service);

private:
    double& tokensOf(std::string_view service);

    RetryAllowanceOptions m_options;
    std::map<std::string, double, std::less<>> m_tokens;
};

}
