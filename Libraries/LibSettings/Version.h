#pragma once

#include <LibSettings/Target.h>
#include <vector>

namespace Comfreysail::Settings {

/// One version of a service: the targets that run it.
struct Version {
    std::vector<Target> targets;

    bool operator==(Version const&) const = default;
};

}
