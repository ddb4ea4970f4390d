#pragma once

/// Public header of LibRouting: target groups, target selection, home selection, spilling to other availability zones,
/// and load report scheduling. The library opens no sockets and reads no clock; the same calls with the same times give
/// the same decisions.

#include <LibRouting/AvailabilityZoneChoice.h>
#include <LibRouting/DispatchMode.h>
#include <LibRouting/GroupKey.h>
#include <LibRouting/GroupLoad.h>
#include <LibRouting/GroupOptions.h>
#include <LibRouting/HomeCandidate.h>
#include <LibRouting/HomeSelection.h>
#include <LibRouting/LoadHint.h>
#include <LibRouting/LoadReport.h>
#include <LibRouting/LoadReportScheduler.h>
#include <LibRouting/MeasurementBudget.h>
#include <LibRouting/Pick.h>
#include <LibRouting/PickRequest.h>
#include <LibRouting/SendOutcome.h>
#include <LibRouting/SpillSelector.h>
#include <LibRouting/Target.h>
#include <LibRouting/TargetGroup.h>
#include <LibRouting/WarmUpState.h>
