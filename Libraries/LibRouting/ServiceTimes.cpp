#include <LibRouting/ServiceTimes.h>
#include <algorithm>

namespace Comfreysail::Routing {

namespace {

// Samples are capped at this multiple of the typical time, so that a single slow target does not raise the value that
// it is compared with.
constexpr int64_t maxSampleInTypicalTimes = 4;

// For exponential service times, a mean over the last 128 samples varies by about 9%.
constexpr int64_t window = 128;

// Lower bound for the typical time, so that a class with unmeasurably short requests does not make all other targets
// look infinitely slow.
constexpr Core::Duration minTypicalTime = std::chrono::microseconds(100);

}

void ServiceTimes::add(size_t costClass, Core::Duration sample)
{
    auto& typical = m_typical[costClass];
    auto& samples = m_samples[costClass];
    samples = std::min<unsigned>(samples + 1, window);
    if (samples == 1) {
        typical = std::max(sample, minTypicalTime);
        return;
    }
    // The first samples are averaged without the cap, because one of them may be far below the mean.
    auto const bounded = samples < 8 ? sample : std::min(sample, maxSampleInTypicalTimes * typical);
    typical = std::max(typical + (bounded - typical) / static_cast<int64_t>(samples), minTypicalTime);
}

}
