#pragma once

#include "Slope.h"
#include <vector>

namespace Comfreysail::Capacity {

/// Each function measures one role of the daemon with the product's own library at three sizes or more.
std::vector<Series> measureRouting();
std::vector<Series> measureLoadReports();
std::vector<Series> measureAdmission();
std::vector<Series> measureSettings();
std::vector<Series> measureMembership();
std::vector<Series> measureMoves();
std::vector<Series> measureClaims();
std::vector<Series> measureTelemetry();

}
