#include "LoadReport.h"
#include <iomanip>
#include <sstream>

namespace Comfreysail::Benchmarks {

namespace {

constexpr std::array<std::string_view, callEndCount> endNames { "answered", "refused", "failed", "unanswered", "cut",
    "wrong" };

void printQuantiles(std::ostream& stream, std::string const& prefix, LatencyHistogram const& histogram)
{
    stream << ' ' << prefix << "p50_ms=" << histogram.quantile(0.5) << ' ' << prefix
           << "p99_ms=" << histogram.quantile(0.99);
}

}

void LoadReport::noteEnd(CallKind kind, CallEnd end, double milliseconds)
{
    ++ends.at(static_cast<size_t>(kind)).at(static_cast<size_t>(end));
    if (end == CallEnd::Answered)
        latencies.at(static_cast<size_t>(kind)).add(milliseconds);
}

uint64_t LoadReport::count(CallEnd end) const
{
    uint64_t sum = 0;
    for (auto const& kind : ends)
        sum += kind.at(static_cast<size_t>(end));
    return sum;
}

std::string LoadReport::progressLine() const
{
    std::ostringstream stream;
    stream << "requests=" << started;
    for (size_t index = 0; index < callEndCount; ++index)
        stream << ' ' << endNames.at(index) << '=' << count(static_cast<CallEnd>(index));
    return stream.str();
}

std::string LoadReport::finalLine(ExecutionCounts const& executions) const
{
    auto const faults = orders.compare(executions);
    LatencyHistogram lookupsAndOrders;
    lookupsAndOrders.merge(latencies[static_cast<size_t>(CallKind::Lookup)]);
    lookupsAndOrders.merge(latencies[static_cast<size_t>(CallKind::Order)]);
    std::ostringstream stream;
    stream << std::fixed << std::setprecision(2) << progressLine() << " sends=" << sends
           << " doubled=" << faults.doubled << " lost=" << faults.lost << " false_not_run=" << faults.falseNotRun;
    printQuantiles(stream, "", lookupsAndOrders);
    printQuantiles(stream, "lookup_", latencies[static_cast<size_t>(CallKind::Lookup)]);
    printQuantiles(stream, "order_", latencies[static_cast<size_t>(CallKind::Order)]);
    printQuantiles(stream, "download_", latencies[static_cast<size_t>(CallKind::Download)]);
    auto const& poison = ends[static_cast<size_t>(CallKind::Poison)];
    stream << " poison_refused=" << poison[static_cast<size_t>(CallEnd::Refused)];
    for (auto const& [name, count] : refusals)
        stream << " error." << name << '=' << count;
    return stream.str();
}

}
