#pragma once

#include <string>

namespace Comfreysail::Routing {

/// A live daemon that may be the home of a group. The caller leaves out daemons that are suspected to have failed and
/// daemons that are leaving.
struct HomeCandidate {
    std::string daemon;
    std::string availabilityZone;

    bool operator==(HomeCandidate const&) const = default;
};

}
