#pragma once

#include <chrono>
#include <cstddef>

namespace Comfreysail::Capacity {

/// Processor time of this thread, in microseconds.
double processorMicroseconds();

/// Bytes that the process has allocated and not freed.
double allocatedBytes();

/// Mean processor time of one call, in microseconds.
template<typename Function> double microsecondsPerCall(size_t calls, Function&& function)
{
    auto const start = processorMicroseconds();
    for (size_t call = 0; call < calls; ++call)
        function(call);
    return (processorMicroseconds() - start) / static_cast<double>(calls);
}

}
