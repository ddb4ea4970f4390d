#pragma once

#include <cstdint>
#include <string>

namespace Comfreysail::Store {

/// A VM in the platform's list, which lags behind the real state of the VMs.
struct Vm {
    enum class State : uint8_t { Live, Leaving };

    std::string name;
    std::string address;
    std::string availabilityZone;
    State state { State::Live };

    bool operator==(Vm const&) const = default;
};

}
