#pragma once

#include <string>

namespace Comfreysail::Routing {

/// A live daemon that may be the home of a group. Suspected and leaving daemons are left out by the caller.
struct HomeCandidate {
    std::string daemon;
    std::string availabilityZone;

    bool operator==(HomeCandidate const&) const = default;
};

}
