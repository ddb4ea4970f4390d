#include "Meter.h"
#include "Roles.h"
#include <LibAdmission/Admission.h>

namespace Comfreysail::Capacity {

namespace {

constexpr size_t requests = 50'000;

Admission::QueuedRequest makeRequest(size_t index, size_t departments, Core::Instant now)
{
    return { .id = index,
        .department = "department-" + std::to_string(index % departments),
        .requestClass = Admission::RequestClass::Lookup,
        .weight = 1,
        .deadline = now + std::chrono::seconds(10) };
}

/// Measures the time to enqueue, dispatch and finish one request at a queue that holds 100 others, in microseconds.
double measureRequest(size_t departments)
{
    constexpr size_t queueLength = 100;
    Core::Instant now {};
    Admission::AdmissionQueue queue;
    for (size_t index = 0; index < queueLength; ++index)
        (void)queue.enqueue(makeRequest(index, departments, now), now);
    return microsecondsPerCall(requests, [&](size_t index) {
        now += std::chrono::microseconds(100);
        (void)queue.enqueue(makeRequest(index + queueLength, departments, now), now);
        for (auto const& admitted : queue.dispatch(1, now))
            queue.finish(admitted.ticket, now);
    });
}

double measureQueueMemory(size_t queued)
{
    Core::Instant const now {};
    auto const before = allocatedBytes();
    Admission::AdmissionQueue queue({ .queueLimit = queued });
    for (size_t index = 0; index < queued; ++index)
        (void)queue.enqueue(makeRequest(index, 20, now), now);
    return allocatedBytes() - before;
}

}

std::vector<Series> measureAdmission()
{
    Series time { "admission", "request_microseconds", "departments", {} };
    for (size_t departments : { 4, 40, 400 })
        time.points.push_back({ static_cast<double>(departments), measureRequest(departments) });
    Series memory { "admission", "queue_bytes", "queued", {} };
    for (size_t queued : { 64, 256, 1024 })
        memory.points.push_back({ static_cast<double>(queued), measureQueueMemory(queued) });
    return { time, memory };
}

}
