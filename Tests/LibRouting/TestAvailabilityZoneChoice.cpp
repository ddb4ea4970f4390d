#include <LibRouting/Routing.h>
#include <catch2/catch.hpp>
#include <map>

using namespace Comfreysail::Routing;

namespace {

std::map<std::string, int> countChoices(std::vector<ZoneCandidate> const& options)
{
    std::map<std::string, int> counts;
    for (int request = 0; request < 3000; ++request)
        ++counts[chooseAvailabilityZone("z1", options, std::to_string(request)).value_or("none")];
    return counts;
}

}

// Requests that leave a zone must be spread by slots and stay in the region; otherwise a single zone is overloaded.
TEST_CASE("ZoneChoice_OwnZoneOutOfService_SpreadsBySlotsWithinRegion")
{
    std::vector<ZoneCandidate> options { { "z1", "r1", true, 10 }, { "z2", "r1", true, 10 }, { "z3", "r1", true, 20 },
        { "z4", "r2", true, 40 } };
    CHECK(countChoices(options) == std::map<std::string, int> { { "z1", 3000 } });
    options[0].isInService = false;
    auto counts = countChoices(options);
    CHECK(counts["z2"] == Approx(1000).margin(100));
    CHECK(counts["z3"] == Approx(2000).margin(100));
    options[1].isInService = false;
    options[2].slots = 0;
    CHECK(countChoices(options) == std::map<std::string, int> { { "z4", 3000 } });
    options[3].isInService = false;
    CHECK(countChoices(options) == std::map<std::string, int> { { "none", 3000 } });
}
