#pragma once

/// Public header of LibTraffic: the decisions of an entry VM about requests to targets that register themselves
/// (routes, eligible targets, placement, retries, limits for cold targets, and moves between versions), and the relay
/// of the store's rows among daemons. Opens no sockets.

#include <LibTraffic/BodyBudget.h>
#include <LibTraffic/CallerTimeoutEstimate.h>
#include <LibTraffic/ColdTargetRateLimiter.h>
#include <LibTraffic/DirectoryEntry.h>
#include <LibTraffic/EvidenceLedger.h>
#include <LibTraffic/MoveJudge.h>
#include <LibTraffic/MoveStart.h>
#include <LibTraffic/PauseDecision.h>
#include <LibTraffic/PauseDetector.h>
#include <LibTraffic/Placement.h>
#include <LibTraffic/ProbePreference.h>
#include <LibTraffic/QueueingEstimate.h>
#include <LibTraffic/RegisteredTarget.h>
#include <LibTraffic/RelayTree.h>
#include <LibTraffic/ReportMemory.h>
#include <LibTraffic/RequestRateEstimate.h>
#include <LibTraffic/ResponseVerdict.h>
#include <LibTraffic/RestoredTable.h>
#include <LibTraffic/RetryAdvice.h>
#include <LibTraffic/RouteTable.h>
#include <LibTraffic/ServiceTimeEstimate.h>
#include <LibTraffic/SharedRetryBudget.h>
#include <LibTraffic/SharedRows.h>
#include <LibTraffic/StoreClock.h>
#include <LibTraffic/StorePosition.h>
#include <LibTraffic/TargetDirectory.h>
#include <LibTraffic/TargetLimit.h>
#include <LibTraffic/TargetLoad.h>
#include <LibTraffic/TargetPause.h>
#include <LibTraffic/TargetReport.h>
#include <LibTraffic/TargetSignals.h>
#include <LibTraffic/TargetSubset.h>
#include <LibTraffic/TrafficPlan.h>
#include <LibTraffic/VersionHistory.h>
#include <LibTraffic/VersionMove.h>
