#include "Scenario.h"

namespace Comfreysail::Benchmarks {

std::vector<Scenario> scenarios()
{
    constexpr double lowRate = 1;
    return {
        { .name = "good" },
        { .name = "good_thin_traffic", .callsPerSecond = lowRate },
        { .name = "good_one_target_fails", .fault = Fault::OneTarget },
        { .name = "good_one_zone_fails", .fault = Fault::OneZone, .faultFrom = 0.5 },
        { .name = "good_cold_start", .fault = Fault::ColdStart },
        { .name = "bad_at_once", .isBad = true, .fault = Fault::Failing },
        { .name = "bad_one_in_five", .isBad = true, .fault = Fault::Failing, .failureRate = 0.2 },
        { .name = "bad_later", .isBad = true, .fault = Fault::Failing, .failureRate = 0.5, .faultFrom = 0.7 },
        { .name = "bad_under_load", .isBad = true, .fault = Fault::FailingUnderLoad, .failureRate = 0.5 },
        { .name = "bad_one_route", .isBad = true, .fault = Fault::OneRoute },
        { .name = "bad_slow", .isBad = true, .fault = Fault::Slow },
        { .name = "bad_slow_later", .isBad = true, .fault = Fault::Slow, .faultFrom = 0.7 },
        { .name = "bad_thin_traffic", .isBad = true, .fault = Fault::Failing, .callsPerSecond = lowRate },
    };
}

}
