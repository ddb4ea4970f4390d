// Replaces functions of the C library in the daemon that it is linked into, to inject faults that need no change of the
// daemon. Both are configured by environment variables:
//
// COMFREYSAIL_CLOCK_SHIFT   file with the number of seconds by which the wall clock is shifted. It is read at each
// call, so
//                           the clock steps when the file is replaced. Steady clocks and absolute timeouts stay
//                           correct.
// COMFREYSAIL_CONNECT_MAP   "PORT=PROXY_PORT,..."; IPv4 connections to PORT are made to PROXY_PORT instead.

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <dlfcn.h>
#include <fcntl.h>
#include <map>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <unistd.h>

namespace {

time_t shiftSeconds()
{
    static char const* const path = std::getenv("COMFREYSAIL_CLOCK_SHIFT");
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

std::map<unsigned, unsigned> readConnectMap()
{
    std::map<unsigned, unsigned> ports;
    auto const* text = std::getenv("COMFREYSAIL_CONNECT_MAP");
    while (text && *text) {
        char* end = nullptr;
        auto const port = std::strtoul(text, &end, 10);
        if (*end != '=')
            break;
        ports[static_cast<unsigned>(port)] = static_cast<unsigned>(std::strtoul(end + 1, &end, 10));
        text = *end == ',' ? end + 1 : end;
    }
    return ports;
}

}

extern "C" {

// A direct system call, since the C library's function of this name is the one that is replaced.
// NOLINTNEXTLINE(readability-identifier-naming)
int clock_gettime(clockid_t clock, timespec* result) noexcept
{
    auto const status = static_cast<int>(::syscall(SYS_clock_gettime, clock, result));
    if (status == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE))
        result->tv_sec += shiftSeconds();
    return status;
}

int gettimeofday(timeval* __restrict result, void* __restrict) noexcept
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

int connect(int socket, sockaddr const* address, socklen_t length)
{
    using Connect = int (*)(int, sockaddr const*, socklen_t);
    static auto const original = reinterpret_cast<Connect>(::dlsym(RTLD_NEXT, "connect"));
    static auto const proxies = readConnectMap();
    if (address->sa_family != AF_INET || length < sizeof(sockaddr_in))
        return original(socket, address, length);
    sockaddr_in redirected {};
    std::memcpy(&redirected, address, sizeof(redirected));
    if (auto const proxy = proxies.find(ntohs(redirected.sin_port)); proxy != proxies.end())
        redirected.sin_port = htons(static_cast<uint16_t>(proxy->second));
    return original(socket, reinterpret_cast<sockaddr const*>(&redirected), sizeof(redirected));
}
}
