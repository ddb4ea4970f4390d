#include <LibCore/Hash.h>
#include <LibRouting/AvailabilityZoneChoice.h>
#include <algorithm>

namespace Comfreysail::Routing {

std::optional<std::string> chooseAvailabilityZone(
    std::string const& ownZone, std::vector<ZoneCandidate> const& candidates, std::string_view requestId)
{
    auto const own = std::find_if(candidates.begin(), candidates.end(),
        [&](ZoneCandidate const& candidate) { return candidate.name == ownZone; });
    if (own != candidates.end() && own->isInService && own->slots > 0)
        return ownZone;

    auto const sumOfSlots = [&](auto const& mayUse) {
        uint64_t sum = 0;
        for (auto const& candidate : candidates)
            sum += mayUse(candidate) ? candidate.slots : 0;
        return sum;
    };
    auto const isInService = [](ZoneCandidate const& candidate) { return candidate.isInService; };
    auto const isNear = [&](ZoneCandidate const& candidate) {
        return candidate.isInService && own != candidates.end() && candidate.region == own->region;
    };
    bool const staysInRegion = sumOfSlots(isNear) > 0;
    auto const slots = staysInRegion ? sumOfSlots(isNear) : sumOfSlots(isInService);
    if (slots == 0)
        return std::nullopt;

    auto position = Core::hashBytes(requestId) % slots;
    for (auto const& candidate : candidates) {
        if (staysInRegion ? !isNear(candidate) : !isInService(candidate))
            continue;
        if (position < candidate.slots)
            return candidate.name;
        position -= candidate.slots;
    }
    return std::nullopt;
}

}
