#include <LibTelemetry/EventText.h>
#include <LibTraffic/Traffic.h>
#include <Support/Mutation.h>
#include <catch2/catch.hpp>
#include <platform/Platform.h>
#include <random>

using namespace Comfreysail;
using Tests::mutated;

namespace {

// Enough to find shallow faults in each test run. For a longer search, raise it and change the seed by hand.
constexpr int rounds = 4000;
constexpr unsigned seed = 20261204;

std::string const samples[] = {
    R"({"version":7,"routes":[{"name":"r1","host":"a.example","prefix":"/p/","kind":"safe","timeout-s":1.5,"split":[{"service":"s","weight":9}]}],"services":[{"name":"s","health-path":"/health","cold-per-s":4.8}],"limits":{"max-header-bytes":16384,"max-body-bytes":1}})",
    R"({"service":"s","addr":"10.0.0.9:8080","zone":"z","version":"v","slots":2,"state":"ready","cold-left-s":0,"born":1})",
    R"({"rows":[{"table":"t","part":"","key":"k","value":"dg==","resource-version":1}],"has-more":false,"resource-version":5})",
    R"({"service":"s","to":"v2","duration-s":12,"state":"running"})",
    "3,0,8,120",
    "I20261204 10:00:00.1 7 EventLine.cpp:62] event=x a=\"b\\x0a\\\"\" c=d",
};

}

// Data from outside may be damaged or come from another writer. The decoders may refuse it, but must neither crash the
// daemon nor return values outside the range that its decisions rely on.
TEST_CASE("Decoders_DamagedText_RefuseItOrGiveValuesInRange")
{
    std::mt19937 generator(seed);
    for (int round = 0; round < rounds; ++round) {
        for (auto const& sample : samples) {
            auto const text = mutated(sample, generator);
            Platform::StoreRow const row { "", "k", text, 1, "t" };
            auto const plan = Platform::decodePlan(row);
            if (!isError(plan)) {
                for (auto const& route : valueOf(plan).routes) {
                    REQUIRE_FALSE(route.shares.empty());
                    REQUIRE(route.timeout.count() >= 0);
                    Traffic::chooseService(route, 0.999);
                }
            }
            auto const target = Platform::decodeTarget(row);
            if (!isError(target)) {
                REQUIRE(valueOf(target).slots > 0);
                REQUIRE(valueOf(target).port > 0);
                REQUIRE(valueOf(target).coldLeft.count() >= 0);
            }
            Platform::decodeMove(row);
            Platform::decodeMoveResult(row);
            Platform::decodeRowPage(text);
            Platform::decodeCommittedRevision(text);
            Platform::decodeConflicts(text);
            Platform::decodeBase64(text);
            if (auto const load = Traffic::parseTargetLoad(text))
                REQUIRE(load->slots > 0);
            Telemetry::parseEventLine(text);
        }
    }
}
