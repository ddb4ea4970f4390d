#pragma once

/// Public header of LibOverload: the decision whether a request is sent, waits or is refused while the targets of its
/// service are short of free slots. Opens no sockets.

#include <LibOverload/CapacityState.h>
#include <LibOverload/Decide.h>
#include <LibOverload/Decision.h>
#include <LibOverload/DecisionInput.h>
#include <LibOverload/DepartmentShares.h>
#include <LibOverload/OverloadOptions.h>
#include <LibOverload/ServiceRanks.h>
#include <LibOverload/SpareCapacity.h>
#include <LibOverload/WorkEstimate.h>
