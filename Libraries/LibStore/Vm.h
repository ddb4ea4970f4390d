#pragma once

#include <cstdint>
#include <string>

namespace Comfreysail::Store {

/// A VM as the platform lists it. The list lags behind the VMs' real state.
struct Vm {
    enum class State : uint8_t { Live, Leaving };

    std::string name;
    std::string address;
    std::string availabilityZone;
    State state { State::Live };

    bool operator==(Vm const&) const = default;
};

}
