#include "Meter.h"
#include <ctime>
#include <malloc.h>

namespace Comfreysail::Capacity {

double processorMicroseconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

double allocatedBytes()
{
    auto const information = mallinfo2();
    return static_cast<double>(information.uordblks + information.hblkhd);
}

}
