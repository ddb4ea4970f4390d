#include "Simulation.h"
#include <algorithm>
#include <iostream>
#include <string>
#include <vector>

using namespace Comfreysail::Benchmarks;

namespace {

/// Returns the 99th percentile, or 0 if there are no values.
double percentile99(std::vector<double> values)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[(values.size() * 99 + 99) / 100 - 1];
}

}

// Optional arguments: the number of seeds (default 5) and the name of a single scenario to run (default all).
int main(int argc, char** argv)
{
    auto const seeds = argc > 1 ? std::stoul(argv[1]) : 5;
    std::string const only = argc > 2 ? argv[2] : "";
    size_t goodOnTime = 0;
    size_t good = 0;
    size_t badTakenBack = 0;
    size_t bad = 0;
    double badShareMax = 0;
    std::vector<double> detections;
    for (auto const& scenario : scenarios()) {
        if (!only.empty() && scenario.name != only)
            continue;
        size_t onTime = 0;
        size_t takenBack = 0;
        double shareMax = 0;
        double shareOfCalls = 0;
        std::vector<double> seconds;
        for (unsigned long seed = 1; seed <= seeds; ++seed) {
            auto const result = simulate(scenario, seed);
            onTime += result.isOnTime ? 1 : 0;
            takenBack += result.isTakenBack ? 1 : 0;
            shareMax = std::max(shareMax, result.shareMax);
            shareOfCalls = std::max(shareOfCalls, result.shareOfCalls);
            if (result.detectSeconds)
                seconds.push_back(*result.detectSeconds);
        }
        std::cout << "scenario=" << scenario.name << " on_time=" << onTime << '/' << seeds
                  << " taken_back=" << takenBack << '/' << seeds << " share_max=" << shareMax
                  << " share_of_calls_max=" << shareOfCalls << " detect_p99_s=" << percentile99(seconds) << std::endl;
        (scenario.isBad ? bad : good) += seeds;
        if (!scenario.isBad) {
            goodOnTime += onTime;
            continue;
        }
        badTakenBack += takenBack;
        detections.insert(detections.end(), seconds.begin(), seconds.end());
        // A fault that begins later can occur at any share that the version has reached by then, so it is left out of
        // this maximum.
        if (scenario.faultFrom == 0)
            badShareMax = std::max(badShareMax, shareMax);
    }
    std::cout << "good_on_time=" << goodOnTime << '/' << good << " bad_taken_back=" << badTakenBack << '/' << bad
              << " bad_share_max=" << badShareMax << " detect_p99_s=" << percentile99(detections) << std::endl;
    return goodOnTime == good && badTakenBack == bad ? 0 : 1;
}
