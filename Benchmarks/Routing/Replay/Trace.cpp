#include <Replay/Cluster.h>
#include <Replay/Trace.h>
#include <algorithm>
#include <array>
#include <cmath>
#include <fstream>
#include <random>

namespace Comfreysail::RoutingReplay {

namespace {

constexpr size_t bytesPerRequest = 6;

// The results of the distributions of <random> differ between standard libraries, so they are implemented here to make
// traces reproducible.
double uniform(std::mt19937_64& generator) { return (static_cast<double>(generator() >> 11) + 0.5) * 0x1p-53; }

double exponential(std::mt19937_64& generator) { return -std::log(uniform(generator)); }

uint16_t clampTo16Bits(double value) { return static_cast<uint16_t>(std::clamp(std::round(value), 0.0, 65535.0)); }

std::vector<SlowPhase> generateSlowPhases(std::mt19937_64& generator, Core::Duration until)
{
    constexpr double meanGapSeconds = 10;
    std::vector<SlowPhase> phases;
    for (size_t target = 0; target < targetCount; ++target) {
        Core::Duration time { 0 };
        while (true) {
            time += Core::Duration(static_cast<int64_t>(exponential(generator) * meanGapSeconds * 1e6));
            if (time >= until)
                break;
            Core::Duration const length(static_cast<int64_t>(50'000 + uniform(generator) * 450'000));
            phases.push_back({ static_cast<uint8_t>(target), time, length });
            time += length;
        }
    }
    std::stable_sort(phases.begin(), phases.end(),
        [](SlowPhase const& left, SlowPhase const& right) { return left.start < right.start; });
    return phases;
}

Core::Error fileError(std::string const& path)
{
    return { Core::ErrorKind::Internal, "cannot read or write trace file " + path };
}

}

Trace generateTrace(uint64_t seed, size_t requests, Core::Duration slowPhaseTime)
{
    std::mt19937_64 generator(seed);
    Trace trace;
    trace.requests.reserve(requests);
    for (size_t index = 0; index < requests; ++index) {
        TraceRequest request;
        request.gap = clampTo16Bits(exponential(generator) * 4096);
        request.work = clampTo16Bits(exponential(generator) * static_cast<double>(meanWork.count()) / 2);
        request.daemon = static_cast<uint8_t>(generator() % daemonCount);
        request.department = static_cast<uint8_t>(generator() % departmentCount);
        trace.requests.push_back(request);
    }
    trace.slowPhases = generateSlowPhases(generator, slowPhaseTime);
    return trace;
}

Core::Result<Core::Empty> writeTrace(Trace const& trace, std::string const& folder)
{
    auto const requestPath = folder + "/requests.bin";
    std::ofstream requests(requestPath, std::ios::binary);
    for (auto const& request : trace.requests) {
        std::array<char, bytesPerRequest> const bytes { static_cast<char>(request.gap & 0xff),
            static_cast<char>(request.gap >> 8), static_cast<char>(request.work & 0xff),
            static_cast<char>(request.work >> 8), static_cast<char>(request.daemon),
            static_cast<char>(request.department) };
        requests.write(bytes.data(), bytes.size());
    }
    if (!requests.flush())
        return fileError(requestPath);

    auto const phasePath = folder + "/slow-phases.txt";
    std::ofstream phases(phasePath);
    phases << "# target start_us length_us\n";
    for (auto const& phase : trace.slowPhases)
        phases << unsigned { phase.target } << ' ' << phase.start.count() << ' ' << phase.length.count() << '\n';
    if (!phases.flush())
        return fileError(phasePath);
    return Core::Empty {};
}

Core::Result<Trace> readTrace(std::string const& folder)
{
    Trace trace;
    auto const requestPath = folder + "/requests.bin";
    std::ifstream requests(requestPath, std::ios::binary);
    std::array<unsigned char, bytesPerRequest> bytes {};
    while (requests.read(reinterpret_cast<char*>(bytes.data()), bytes.size())) {
        trace.requests.push_back({ static_cast<uint16_t>(bytes[0] | bytes[1] << 8),
            static_cast<uint16_t>(bytes[2] | bytes[3] << 8), bytes[4], bytes[5] });
    }
    if (trace.requests.empty())
        return fileError(requestPath);

    auto const phasePath = folder + "/slow-phases.txt";
    std::ifstream phases(phasePath);
    std::string heading;
    std::getline(phases, heading);
    unsigned target = 0;
    int64_t start = 0;
    int64_t length = 0;
    while (phases >> target >> start >> length)
        trace.slowPhases.push_back({ static_cast<uint8_t>(target), Core::Duration(start), Core::Duration(length) });
    if (trace.slowPhases.empty())
        return fileError(phasePath);
    return trace;
}

}
