#pragma once

#include <string>

namespace Comfreysail::Membership {

/// One entry of the platform's VM list. The list can be stale: it may lack new VMs and contain VMs that no longer
/// exist.
struct PlatformVm {
    std::string name;
    std::string address;
    bool isLeaving { false };

    bool operator==(PlatformVm const&) const = default;
};

}
