#pragma once

#include <chrono>
#include <cstddef>

namespace Comfreysail::Capacity {

/// Returns the processor time of this thread, in microseconds.
double processorMicroseconds();

/// Returns the bytes that the process has allocated and not freed.
double allocatedBytes();

/// Calls the function with the numbers below `calls`. Returns the mean processor time of one call, in microseconds.
template<typename Function> double microsecondsPerCall(size_t calls, Function&& function)
{
    auto const start = processorMicroseconds();
    for (size_t call = 0; call < calls; ++call)
        function(call);
    return (processorMicroseconds() - start) / static_cast<double>(calls);
}

}
