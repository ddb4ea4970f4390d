#pragma once

#include <LibOverload/Overload.h>
#include <map>
#include <memory>
#include <string>

namespace Comfreysail::Daemon {

/// What an entry daemon knows about shortages of the services' targets.
struct OverloadState {
    Overload::OverloadOptions options;
    std::map<std::string, Overload::SpareCapacity, std::less<>> capacities;   ///< By service.
    std::map<std::string, Overload::WorkEstimate, std::less<>> workEstimates; ///< By route.
    Overload::DepartmentShares departments;
    Overload::ServiceRanks ranks;
    std::shared_ptr<Traffic::TrafficPlan const> planOfRanks; ///< The plan that `ranks` was built from.
};

}
