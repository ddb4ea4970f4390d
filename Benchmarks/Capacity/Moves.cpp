#include "Meter.h"
#include "Roles.h"
#include <LibCore/Core.h>
#include <LibMoves/Moves.h>
#include <LibWire/Wire.h>

namespace Comfreysail::Capacity {

namespace {

constexpr size_t observations = 50'000;
constexpr size_t routes = 3;
constexpr size_t zones = 3;
constexpr size_t targets = 13;

Moves::Move makeMove(size_t service, Core::WallTime start)
{
    return { .id = "move-" + std::to_string(service),
        .kind = Moves::MoveKind::Version,
        .service = "service-" + std::to_string(service),
        .from = "v1",
        .to = "v2",
        .start = start,
        .finishBy = start + std::chrono::hours(1) };
}

Moves::Observation makeObservation(size_t index, size_t services)
{
    // The fields are drawn from a hash of the index, so that they are independent of each other.
    auto random = Core::combineHashes(index, services);
    auto draw = [&](uint64_t count) {
        auto const drawn = random % count;
        random /= count;
        return drawn;
    };
    Moves::Observation observation;
    observation.service = "service-" + std::to_string(draw(services));
    observation.version = draw(10) == 0 ? "v2" : "v1";
    observation.route = "route-" + std::to_string(draw(routes));
    auto const target = draw(targets);
    observation.target = "target-" + std::to_string(target);
    observation.availabilityZone = "zone-" + std::to_string(target % zones);
    observation.latency = std::chrono::microseconds(9'000 + draw(2'000));
    return observation;
}

}

std::vector<Series> measureMoves()
{
    Series recordTime { "moves_and_evidence", "record_microseconds", "moves", {} };
    Series memory { "moves_and_evidence", "evidence_bytes", "moves", {} };
    Series deltaBytes { "moves_and_evidence", "delta_bytes_for_one_second", "moves", {} };
    Series judgeTime { "moves_and_evidence", "judge_microseconds", "moves", {} };
    for (size_t services : { 1, 4, 12 }) {
        Core::WallTime now = Core::fromUnixMilliseconds(1'800'000'000'000);
        auto const before = allocatedBytes();
        Moves::Evidence evidence("entry-1", 1);
        std::vector<Moves::Move> moves;
        for (size_t service = 0; service < services; ++service)
            moves.push_back(makeMove(service, now));
        evidence.watch(moves);
        auto const size = static_cast<double>(services);
        // 5,000 observations per second for 10 seconds.
        recordTime.points.push_back(
            { size, microsecondsPerCall(observations, [&](size_t index) {
                 evidence.record(makeObservation(index, services), now + std::chrono::milliseconds(index / 5));
             }) });
        now += std::chrono::seconds(10);
        (void)evidence.takeDelta(1'000'000, now);
        for (size_t index = 0; index < 5'000; ++index)
            evidence.record(makeObservation(index, services), now);
        auto const delta = evidence.takeDelta(1'000'000, now);
        deltaBytes.points.push_back({ size, static_cast<double>(Wire::encode({ "entry-1", 1, 1, delta }).size()) });
        memory.points.push_back({ size, allocatedBytes() - before });
        Moves::MoveScope const scope { .targetCount = targets, .routes = { "route-0", "route-1", "route-2" } };
        judgeTime.points.push_back({ size, microsecondsPerCall(20, [&](size_t index) {
                                        (void)Moves::judge(moves[index % services], evidence, scope, now);
                                    }) });
    }
    return { recordTime, memory, deltaBytes, judgeTime };
}

}
