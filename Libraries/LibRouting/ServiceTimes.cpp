#include <LibRouting/ServiceTimes.h>
#include <algorithm>

namespace Comfreysail::Routing {

namespace {

// A single slow target must not raise the figure that it is judged by, so samples are cut at this multiple of it.
constexpr int64_t largestSampleInTypicals = 4;

// The mean over the last 128 samples varies by about 9% for exponential service times.
constexpr int64_t window = 128;

// A class whose requests take no measurable time must not make every other target look infinitely slow.
constexpr Core::Duration smallest = std::chrono::microseconds(100);

}

void ServiceTimes::add(size_t costClass, Core::Duration sample)
{
    auto& typical = m_typical[costClass];
    auto& samples = m_samples[costClass];
    samples = std::min<unsigned>(samples + 1, window);
    if (samples == 1) {
        typical = std::max(sample, smallest);
        return;
    }
    // The first samples are averaged without the cut: one of them may have been far below the mean.
    auto const bounded = samples < 8 ? sample : std::min(sample, largestSampleInTypicals * typical);
    typical = std::max(typical + (bounded - typical) / static_cast<int64_t>(samples), smallest);
}

}
