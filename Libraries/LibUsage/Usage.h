#pragma once

/// Public header of LibUsage: counts of requests by department and window, their exchange among daemons, and the
/// decisions of the daemons that report them to the platform. Opens no sockets.

#include <LibUsage/DutyDecision.h>
#include <LibUsage/DutyRow.h>
#include <LibUsage/DutyState.h>
#include <LibUsage/OwnCounts.h>
#include <LibUsage/TrueClock.h>
#include <LibUsage/UsageCounts.h>
#include <LibUsage/UsageLedger.h>
#include <LibUsage/UsageOptions.h>
#include <LibUsage/UsagePush.h>
#include <LibUsage/Window.h>
