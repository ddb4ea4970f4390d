#include <LibMembership/Member.h>

namespace Comfreysail::Membership {

uint64_t makeIncarnation(int64_t startUnixMilliseconds, uint64_t randomBits)
{
    constexpr unsigned randomWidth = 20;
    constexpr uint64_t randomMask = (uint64_t { 1 } << randomWidth) - 1;
    return (static_cast<uint64_t>(startUnixMilliseconds) << randomWidth) | (randomBits & randomMask);
}

}
