#include "Roles.h"
#include <cstdio>

using namespace Comfreysail::Capacity;

/// Prints the measured values and the slope of each cost of each role. Meta/bench-capacity.sh extrapolates them to the
/// size expected in two years.
int main()
{
    for (auto const measure : { measureRouting, measureLoadReports, measureAdmission, measureSettings,
             measureMembership, measureMoves, measureClaims, measureTelemetry }) {
        for (auto const& series : measure())
            print(series);
        std::fflush(stdout);
    }
    return 0;
}
