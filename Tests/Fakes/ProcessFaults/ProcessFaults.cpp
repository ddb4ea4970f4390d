// Injects faults into the process that preloads this library. Both are configured by environment variables:
//
// COMFREYSAIL_CLOCK_SHIFT   file with a 64-bit integer in the machine's byte order, the number of seconds by which the
//                           wall clock is shifted; may be changed while the process runs. Steady clocks stay correct.
// COMFREYSAIL_CONNECT_MAP   "PORT=PROXY_PORT,..."; IPv4 connections to PORT are made to PROXY_PORT instead.

#include <arpa/inet.h>
#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <dlfcn.h>
#include <fcntl.h>
#include <map>
#include <netinet/in.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace {

using Shift = std::atomic<int64_t>;

template<typename Function> Function originalOf(char const* name)
{
    return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
}

Shift const* mapShift()
{
    auto const* const path = std::getenv("COMFREYSAIL_CLOCK_SHIFT");
    auto const file = path ? ::open(path, O_RDONLY | O_CLOEXEC) : -1;
    if (file < 0)
        return nullptr;
    auto* const memory = ::mmap(nullptr, sizeof(Shift), PROT_READ, MAP_SHARED, file, 0);
    ::close(file);
    return memory == MAP_FAILED ? nullptr : static_cast<Shift const*>(memory);
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

// NOLINTNEXTLINE(readability-identifier-naming)
int clock_gettime(clockid_t clock, timespec* time) noexcept
{
    static auto const original = originalOf<int (*)(clockid_t, timespec*)>("clock_gettime");
    static auto const* const shift = mapShift();
    auto const result = original(clock, time);
    if (result == 0 && shift && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE))
        time->tv_sec += shift->load(std::memory_order_relaxed);
    return result;
}

int gettimeofday(timeval* __restrict time, void* __restrict) noexcept
{
    timespec now {};
    auto const result = clock_gettime(CLOCK_REALTIME, &now);
    *time = { now.tv_sec, now.tv_nsec / 1000 };
    return result;
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
    static auto const original = originalOf<int (*)(int, sockaddr const*, socklen_t)>("connect");
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
