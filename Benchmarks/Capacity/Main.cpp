#include "Roles.h"
#include <cstdio>

using namespace Comfreysail::Capacity;

/// Prints the raw figures and the slope of each cost of each role. Meta/bench-capacity.sh works out the two-year size.
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
