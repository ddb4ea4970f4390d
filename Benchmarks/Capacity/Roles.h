#pragma once

#include "Slope.h"
#include <vector>

namespace Comfreysail::Capacity {

/// Each function measures the costs of one role of the daemon at three or more sizes, with the library that the daemon
/// uses.
std::vector<Series> measureRouting();
std::vector<Series> measureLoadReports();
std::vector<Series> measureAdmission();
std::vector<Series> measureSettings();
std::vector<Series> measureMembership();
std::vector<Series> measureMoves();
std::vector<Series> measureClaims();
std::vector<Series> measureTelemetry();

}
