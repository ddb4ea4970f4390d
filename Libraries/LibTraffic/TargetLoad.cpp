#include <LibTraffic/TargetLoad.h>

#include <array>
#include <charconv>

namespace Comfreysail::Traffic {

namespace {

constexpr size_t requiredNumbers = 3;
constexpr double percentOfUsual = 100;

}

unsigned uncrowdedSlots(unsigned slots)
{
    constexpr unsigned numerator = 4;
    constexpr unsigned denominator = 5;
    // Requests that begin beyond that part of the slots take this multiple of their time.
    constexpr double crowdedFactor = 1.7;
    auto const uncrowded = slots * numerator / denominator;
    return uncrowded >= slots / crowdedFactor ? uncrowded : slots;
}

std::optional<TargetLoad> parseTargetLoad(std::string_view text)
{
    std::array<unsigned, 4> numbers {};
    size_t count = 0;
    while (!text.empty()) {
        auto const element = text.substr(0, text.find(','));
        text.remove_prefix(std::min(element.size() + 1, text.size()));
        auto const digits = element.substr(std::min(element.find_first_not_of(' '), element.size()));
        if (count == numbers.size())
            return std::nullopt;
        auto const [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), numbers[count]);
        if (digits.empty() || error != std::errc() || end != digits.data() + digits.size())
            return std::nullopt;
        ++count;
    }
    if (count < requiredNumbers || numbers[2] == 0)
        return std::nullopt;
    TargetLoad load { numbers[0], numbers[1], numbers[2] };
    if (count > requiredNumbers && numbers[3] > 0)
        load.slowness = numbers[3] / percentOfUsual;
    return load;
}

}
