#include <LibTraffic/Traffic.h>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <vector>

using namespace Comfreysail::Traffic;

namespace {

constexpr BodyBudgetOptions options { .capacityBytes = 1000, .smallBodyBytes = 10, .fractionForSmallBodies = 0.25 };

}

// Bodies that together exceed the memory would end the daemon and all requests in it.
TEST_CASE("BodyBudget_LargeBodiesBeyondTheirPart_WaitInLine")
{
    BodyBudget budget(options);
    CHECK(budget.tryReserve(500));
    CHECK_FALSE(budget.tryReserve(300));
    auto const first = budget.enqueue(300);
    auto const second = budget.enqueue(100);
    // 100 bytes would fit, but the first one must not starve.
    CHECK_FALSE(budget.isGranted(second));
    CHECK_FALSE(budget.tryReserve(100));
    budget.release(500);
    CHECK(budget.isGranted(first));
    CHECK(budget.isGranted(second));
    CHECK(budget.usedBytes() == 400);
}

// A short request must not wait for uploads.
TEST_CASE("BodyBudget_SmallBody_UsesThePartThatLargeOnesMayNot")
{
    BodyBudget budget(options);
    CHECK(budget.tryReserve(750));
    budget.enqueue(100);
    for (unsigned count = 0; count < 25; ++count)
        CHECK(budget.tryReserve(10));
    CHECK_FALSE(budget.tryReserve(10));
}

// The operators' limit for a body may exceed the budget of a small VM.
TEST_CASE("BodyBudget_BodyLargerThanTheCapacity_IsReceivedAlone")
{
    BodyBudget budget(options);
    CHECK(budget.tryReserve(20));
    CHECK(budget.tryReserve(2000));
    CHECK_FALSE(budget.tryReserve(20));
    auto const next = budget.enqueue(3000);
    CHECK_FALSE(budget.isGranted(next));
    budget.release(2000);
    CHECK(budget.isGranted(next));
}

TEST_CASE("BodyBudget_WaitingBodyIsCancelled_NextOneIsGranted")
{
    BodyBudget budget(options);
    CHECK(budget.tryReserve(600));
    auto const large = budget.enqueue(700);
    auto const next = budget.enqueue(100);
    budget.cancel(large);
    CHECK(budget.isGranted(next));
    CHECK(budget.usedBytes() == 700);
}

// Random bodies, known and unknown in length: never more memory than the capacity, and all memory comes back.
TEST_CASE("BodyBudget_RandomBodies_StayWithinTheCapacity")
{
    constexpr unsigned seed = 99;
    std::mt19937 generator(seed);
    auto const below = [&](size_t bound) { return std::uniform_int_distribution<size_t>(0, bound - 1)(generator); };
    BodyBudget budget(options);
    std::vector<size_t> held;
    std::map<BodyBudget::Ticket, size_t> waiting;
    size_t granted = 0;
    for (unsigned step = 0; step < 20'000; ++step) {
        CAPTURE(seed, step);
        auto const bytes = 1 + below(400);
        switch (below(4)) {
        case 0:
            if (budget.tryReserve(bytes))
                held.push_back(bytes);
            else if (waiting.size() < 5)
                waiting.emplace(budget.enqueue(bytes), bytes);
            break;
        case 1:
            if (!held.empty()) {
                auto& body = held[below(held.size())];
                if (budget.tryGrow(body, bytes))
                    body += bytes;
            }
            break;
        default:
            if (!held.empty()) {
                std::swap(held[below(held.size())], held.back());
                budget.release(held.back());
                held.pop_back();
            }
        }
        for (auto ticket = waiting.begin(); ticket != waiting.end();) {
            bool const isGranted = budget.isGranted(ticket->first);
            if (isGranted) {
                held.push_back(ticket->second);
                ++granted;
            } else if (below(50) == 0) {
                budget.cancel(ticket->first);
            } else {
                ++ticket;
                continue;
            }
            ticket = waiting.erase(ticket);
        }
        size_t sum = 0;
        size_t largest = 0;
        for (auto const body : held) {
            sum += body;
            largest = std::max(largest, body);
        }
        REQUIRE(budget.usedBytes() == sum);
        REQUIRE(sum <= std::max(options.capacityBytes, largest + 250));
        REQUIRE(budget.waiting() == waiting.size());
    }
    CHECK(granted > 100);
}
