#include <LibTraffic/Traffic.h>
#include <catch2/catch.hpp>

using namespace Comfreysail;
using namespace Comfreysail::Traffic;

namespace {

struct RouteTableFixture {
    TrafficPlan plan;

    RouteTableFixture()
    {
        for (auto const& [name, host, prefix] :
            std::vector<std::array<std::string, 3>> { { "root", "a.example", "/" }, { "pay", "a.example", "/pay/" },
                { "card", "a.example", "/pay/card/" }, { "other", "b.example", "/pay/" } }) {
            RequestRoute route;
            route.name = name;
            route.host = host;
            route.pathPrefix = prefix;
            route.shares = { { "s", 1 } };
            plan.routes.push_back(route);
        }
    }

    std::string found(std::string const& host, std::string const& target) const
    {
        auto const* const route = findRoute(plan, host, target);
        return route ? route->name : "none";
    }
};

}

TEST_CASE_METHOD(RouteTableFixture, "FindRoute_SeveralPrefixesMatch_TakesTheLongestOfTheHost")
{
    CHECK(found("a.example", "/pay/card/1") == "card");
    CHECK(found("a.example", "/pay/x?y=/pay/card/") == "pay");
    CHECK(found("a.example", "/pay") == "root");
    CHECK(found("A.Example:8080", "/pay/") == "pay");
    CHECK(found("b.example", "/") == "none");
    CHECK(found("c.example", "/pay/") == "none");
}

// Requests of a route with several services must be divided by the weights over the whole range of random numbers.
TEST_CASE("ChooseService_Weights_DivideTheDraws")
{
    RequestRoute route;
    route.shares = { { "a", 90 }, { "b", 10 }, { "none", 0 } };
    std::map<std::string, int> counts;
    for (int draw = 0; draw < 1000; ++draw)
        ++counts[chooseService(route, draw / 1000.0)];
    CHECK(counts == std::map<std::string, int> { { "a", 900 }, { "b", 100 } });
}
