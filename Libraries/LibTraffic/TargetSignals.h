#pragma once

#include <LibCore/Time.h>
#include <optional>
#include <string>
#include <vector>

namespace Comfreysail::Traffic {

/// What a target says of itself in the head of a response.
struct TargetSignals {
    bool isLeaving { false }; ///< It is going to end and must get no further requests.
    /// How long this daemon must send it nothing; absent if it does not say so. Counts in a refusal only.
    std::optional<Core::Duration> retryAfter;
    /// Requests per second that the target takes from all daemons together; absent if it names no limit.
    std::optional<double> requestsPerSecond;
    std::vector<std::string> invalidFields; ///< Names of the fields whose values were ignored.

    bool operator==(TargetSignals const&) const = default;
};

}
