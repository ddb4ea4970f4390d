#pragma once

#include <LibOverload/CapacityState.h>
#include <optional>

namespace Comfreysail::Overload {

/// What is known of a request and of its service when it is decided whether to send it.
struct DecisionInput {
    CapacityState capacity;
    unsigned rank { 0 };         ///< 0 is the most urgent.
    unsigned rankDistance { 0 }; ///< Number of more urgent ranks of the service's routes.
    bool isDepartmentOverShare { false };
    Core::Duration waited {};      ///< Since its arrival here.
    Core::Duration earlierWait {}; ///< What its caller spent on earlier attempts; more than 0 if it was refused before.
    Core::Duration latencyTarget {};        ///< 0 for none.
    std::optional<Core::Duration> timeLeft; ///< Until the caller's deadline; absent if unknown.
    Core::Duration typicalWork {};          ///< Of the usual request of its route; 0 if unknown.
    Core::Duration expectedWork {};         ///< Mean of its route.
    Core::Duration leastWorkOfRank {};      ///< Least mean of the service's routes of the same rank; 0 if unknown.
    bool isFirstSend { true };              ///< Only then it may be held.
    bool hasTarget { false };               ///< A target with room was found.
    double draw { 0 };                      ///< Random number in [0, 1), one for each attempt of a caller.

    bool operator==(DecisionInput const&) const = default;
};

}
