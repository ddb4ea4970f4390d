#include <LibUsage/TrueClock.h>

#include <algorithm>

namespace Comfreysail::Usage {

namespace {

// After this time a smaller observation replaces the largest one, since quartz clocks drift.
constexpr auto maxObservationAge = std::chrono::seconds(30);
// With five VMs the median is right as long as at most two of their clocks are wrong.
constexpr size_t maxOffsetsNeeded = 5;

}

void noteStoreTime(TrueClock& clock, Core::Duration storeTime, Core::Instant now)
{
    auto const offset = storeTime - now.time_since_epoch();
    if (clock.storeOffset && offset < *clock.storeOffset && now - clock.storeOffsetAt < maxObservationAge)
        return;
    clock.storeOffset = offset;
    clock.storeOffsetAt = now;
}

std::optional<Core::Duration> storeTimeAt(TrueClock const& clock, Core::Instant instant)
{
    return clock.storeOffset ? std::optional(instant.time_since_epoch() + *clock.storeOffset) : std::nullopt;
}

std::optional<Core::Duration> trueTimeAt(TrueClock const& clock, Core::Instant instant)
{
    auto const storeTime = storeTimeAt(clock, instant);
    return storeTime && clock.agreedOffset ? std::optional(*storeTime + *clock.agreedOffset) : std::nullopt;
}

std::optional<Core::Duration> wallOffset(TrueClock const& clock, Core::WallTime wall, Core::Instant now)
{
    auto const storeTime = storeTimeAt(clock, now);
    return storeTime ? std::optional(Core::Duration(wall.time_since_epoch()) - *storeTime) : std::nullopt;
}

size_t offsetsNeeded(size_t members) { return std::clamp<size_t>((members + 1) / 2, 1, maxOffsetsNeeded); }

std::optional<Core::Duration> agreeOnOffset(std::vector<Core::Duration> offsets, size_t members)
{
    if (offsets.size() < offsetsNeeded(members))
        return std::nullopt;
    // Of an even number the lower of the two middle ones is taken, since their mean may be the time of no clock.
    auto const middle = offsets.begin() + static_cast<std::ptrdiff_t>((offsets.size() - 1) / 2);
    std::ranges::nth_element(offsets, middle);
    return *middle;
}

}
