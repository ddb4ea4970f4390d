#include "Meter.h"
#include "Roles.h"
#include <LibTelemetry/Telemetry.h>

namespace Comfreysail::Capacity {

std::vector<Series> measureTelemetry()
{
    constexpr size_t renders = 20;
    constexpr size_t samples = 200'000;
    Series memory { "telemetry", "registry_bytes", "histograms", {} };
    Series render { "telemetry", "render_microseconds", "histograms", {} };
    Series text { "telemetry", "text_bytes", "histograms", {} };
    Series add { "telemetry", "sample_microseconds", "histograms", {} };
    for (size_t histograms : { 50, 150, 390 }) {
        auto const size = static_cast<double>(histograms);
        auto const before = allocatedBytes();
        Telemetry::MetricRegistry registry;
        std::vector<Telemetry::LatencyHistogram*> all;
        for (size_t index = 0; index < histograms; ++index)
            all.push_back(&registry.histogram("comfreysail_request_seconds",
                { { "department", "department-" + std::to_string(index / 3) },
                    { "class", std::to_string(index % 3) } }));
        memory.points.push_back({ size, allocatedBytes() - before });
        add.points.push_back({ size, microsecondsPerCall(samples, [&](size_t sample) {
                                  all[sample % histograms]->add(Core::Duration(100 + sample % 100'000));
                              }) });
        render.points.push_back(
            { size, microsecondsPerCall(renders, [&](size_t) { (void)registry.prometheusText(); }) });
        text.points.push_back({ size, static_cast<double>(registry.prometheusText().size()) });
    }
    return { memory, add, render, text };
}

}
