#include <LibCore/Hash.h>
#include <LibRouting/AvailabilityZoneChoice.h>
#include <algorithm>

namespace Comfreysail::Routing {

std::optional<std::string> chooseAvailabilityZone(
    std::string const& ownZone, std::vector<ZoneOption> const& options, std::string_view requestId)
{
    auto const own = std::find_if(
        options.begin(), options.end(), [&](ZoneOption const& option) { return option.name == ownZone; });
    if (own != options.end() && own->isIn && own->slots > 0)
        return ownZone;

    auto const sumOfSlots = [&](auto const& mayUse) {
        uint64_t sum = 0;
        for (auto const& option : options)
            sum += mayUse(option) ? option.slots : 0;
        return sum;
    };
    auto const isIn = [](ZoneOption const& option) { return option.isIn; };
    auto const isNear
        = [&](ZoneOption const& option) { return option.isIn && own != options.end() && option.region == own->region; };
    bool const staysInRegion = sumOfSlots(isNear) > 0;
    auto const slots = staysInRegion ? sumOfSlots(isNear) : sumOfSlots(isIn);
    if (slots == 0)
        return std::nullopt;

    auto position = Core::hashBytes(requestId) % slots;
    for (auto const& option : options) {
        if (staysInRegion ? !isNear(option) : !isIn(option))
            continue;
        if (position < option.slots)
            return option.name;
        position -= option.slots;
    }
    return std::nullopt;
}

}
