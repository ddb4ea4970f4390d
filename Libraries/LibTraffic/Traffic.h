#pragma once

/// Public header of LibTraffic: what an entry VM decides about requests for targets that register themselves: routes,
/// eligible targets, placement, retries, cold limits and moves between versions. No sockets.

#include <LibTraffic/AnswerRule.h>
#include <LibTraffic/ColdAllowance.h>
#include <LibTraffic/MoveJudge.h>
#include <LibTraffic/Placement.h>
#include <LibTraffic/RegisteredTarget.h>
#include <LibTraffic/RelayTree.h>
#include <LibTraffic/RetryAllowance.h>
#include <LibTraffic/RouteTable.h>
#include <LibTraffic/ServiceTime.h>
#include <LibTraffic/SharedRows.h>
#include <LibTraffic/TargetDirectory.h>
#include <LibTraffic/TargetLoad.h>
#include <LibTraffic/TargetRecord.h>
#include <LibTraffic/TimeLimit.h>
#include <LibTraffic/TrafficPlan.h>
#include <LibTraffic/VersionMove.h>
#include <LibTraffic/WaitingWorth.h>
