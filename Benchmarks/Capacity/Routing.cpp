#include "Meter.h"
#include "Roles.h"
#include <LibRouting/Routing.h>
#include <LibWire/Wire.h>

namespace Comfreysail::Capacity {

namespace {

constexpr size_t picks = 100'000;

std::vector<Routing::Target> makeTargets(size_t count)
{
    std::vector<Routing::Target> targets;
    for (size_t index = 0; index < count; ++index)
        targets.push_back({ .name = "orders-" + std::to_string(index),
            .address = "10.0.0.1",
            .port = static_cast<uint16_t>(20'000 + index),
            .availabilityZone = "zone-1",
            .version = "v1",
            .slots = 2 });
    return targets;
}

/// Measures the time to pick a target and to finish the oldest request with half of the slots busy, in microseconds.
double measurePick(size_t targetCount)
{
    Core::Instant now {};
    Routing::TargetGroup group({ "orders", "zone-1", 0 }, makeTargets(targetCount), { .coldHold = {} }, now);
    std::vector<std::pair<std::string, Core::Instant>> inFlight;
    size_t oldest = 0;
    auto const busy = targetCount;
    return microsecondsPerCall(picks, [&](size_t) {
        now += std::chrono::microseconds(100);
        auto const pick = group.pick({ .version = "v1", .idempotent = true }, now);
        if (!Core::isError(pick))
            inFlight.emplace_back(Core::valueOf(pick).target, now);
        if (inFlight.size() - oldest > busy || Core::isError(pick)) {
            auto const& [target, sentAt] = inFlight[oldest];
            ++oldest;
            group.noteFinished(target, Routing::SendOutcome::Answered, sentAt, {}, now);
        }
    });
}

double measureGroupMemory(size_t targetCount)
{
    constexpr size_t groups = 50;
    auto const before = allocatedBytes();
    std::vector<Routing::TargetGroup> all;
    all.reserve(groups);
    for (size_t index = 0; index < groups; ++index)
        all.emplace_back(Routing::GroupKey { "orders", "zone-1", static_cast<unsigned>(index) },
            makeTargets(targetCount), Routing::GroupOptions {}, Core::Instant {});
    return (allocatedBytes() - before) / groups;
}

}

std::vector<Series> measureRouting()
{
    Series time { "load_knowledge", "pick_and_finish_microseconds", "targets", {} };
    Series memory { "load_knowledge", "group_bytes", "targets", {} };
    for (size_t targets : { 4, 8, 16, 32 }) {
        auto const size = static_cast<double>(targets);
        time.points.push_back({ size, measurePick(targets) });
        memory.points.push_back({ size, measureGroupMemory(targets) });
    }
    return { time, memory };
}

std::vector<Series> measureLoadReports()
{
    // All groups are overloaded and their load changes at each step, which is the worst case for the cost of reports.
    constexpr int steps = 2'000;
    constexpr size_t siblingHomes = 10;
    Series bytes { "load_knowledge", "report_bytes_per_second_unlimited", "groups", {} };
    Series time { "load_knowledge", "report_microseconds_per_second_unlimited", "groups", {} };
    Series limited { "load_knowledge", "report_bytes_per_second_budgeted", "groups", {} };
    for (unsigned groups : { 2U, 8U, 28U }) {
        for (bool const isLimited : { false, true }) {
            Core::Instant now {};
            Routing::MeasurementLimits limits;
            if (!isLimited)
                limits = { 1e12, 1e12, std::chrono::seconds(1'000), limits.burst };
            Routing::LoadReportScheduler scheduler(limits, now);
            std::vector<std::string> siblings;
            for (size_t home = 0; home < siblingHomes; ++home)
                siblings.push_back("entry-" + std::to_string(home));
            for (unsigned group = 0; group < groups; ++group)
                scheduler.setSiblings({ "service-" + std::to_string(group), "zone-1", 0 }, siblings);
            size_t sent = 0;
            auto const start = processorMicroseconds();
            for (int step = 0; step < steps; ++step) {
                now += std::chrono::milliseconds(5);
                for (unsigned group = 0; group < groups; ++group)
                    scheduler.noteLoad({ "service-" + std::to_string(group), "zone-1", 0 },
                        { .slots = 26, .inFlight = 27U + static_cast<unsigned>(step) % 7, .queued = group % 5 });
                for (auto const& report : scheduler.due(now)) {
                    sent += Routing::reportMessageBytes;
                    for (auto const& entry : report.entries)
                        sent += entry.size();
                }
            }
            auto const seconds = steps * 0.005;
            auto const size = static_cast<double>(groups);
            auto& series = isLimited ? limited : bytes;
            series.points.push_back({ size, static_cast<double>(sent) / seconds });
            if (!isLimited)
                time.points.push_back({ size, (processorMicroseconds() - start) / seconds });
        }
    }
    return { bytes, limited, time };
}

}
