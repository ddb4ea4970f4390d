#pragma once

#include <string>

namespace Comfreysail::Membership {

/// One row of the platform's VM list, which lags: it may miss new VMs and still show VMs that are gone.
struct PlatformVm {
    std::string name;
    std::string address;
    bool isLeaving { false };

    bool operator==(PlatformVm const&) const = default;
};

}
