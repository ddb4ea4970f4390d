// Preloaded into a process under test, this library shifts its wall clock by the number of seconds in the file that the
// environment variable COMFREYSAIL_CLOCK_SHIFT_FILE names; without the file by none. The file is read at each call, so
// the clock steps when the file is replaced. Other clocks and absolute timeouts given to the kernel are not shifted.

#include <array>
#include <cerrno>
#include <cstdlib>
#include <ctime>
#include <fcntl.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <unistd.h>

namespace {

time_t shiftSeconds()
{
    static char const* const path = std::getenv("COMFREYSAIL_CLOCK_SHIFT_FILE");
    auto const savedError = errno;
    time_t shift = 0;
    int const descriptor = path ? ::open(path, O_RDONLY | O_CLOEXEC) : -1;
    if (descriptor >= 0) {
        std::array<char, 32> text {};
        if (::read(descriptor, text.data(), text.size() - 1) > 0)
            shift = std::strtoll(text.data(), nullptr, 10);
        ::close(descriptor);
    }
    errno = savedError;
    return shift;
}

}

extern "C" {

// A direct system call, since the C library's function of this name is the one that is replaced.
int clock_gettime(clockid_t clock, timespec* result) noexcept
{
    auto const status = static_cast<int>(::syscall(SYS_clock_gettime, clock, result));
    if (status == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE))
        result->tv_sec += shiftSeconds();
    return status;
}

int gettimeofday(timeval* result, void*) noexcept
{
    timespec now {};
    clock_gettime(CLOCK_REALTIME, &now);
    *result = { now.tv_sec, now.tv_nsec / 1000 };
    return 0;
}

time_t time(time_t* result) noexcept
{
    timespec now {};
    clock_gettime(CLOCK_REALTIME, &now);
    if (result)
        *result = now.tv_sec;
    return now.tv_sec;
}
}
