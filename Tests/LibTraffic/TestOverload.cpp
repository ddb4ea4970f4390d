#include <LibTraffic/Traffic.h>
#include <Support/EventQueue.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <list>
#include <random>

using namespace Comfreysail;
using namespace Comfreysail::Traffic;
using namespace std::chrono_literals;

namespace {

/// Plays callers against targets through the decision code, with load reports that are always fresh.
///
/// The load is that of jtsu-gateway trouble-3 from 24 s on: ten targets of two slots for 65 requests a second. Each
/// target is five times slower during a quarter of its phases of 150 ms, and a request that starts beside another
/// takes 1.7 times as long; both count at the start of a request. Callers retry twice after a refusal, as Retry-After
/// says.
class OverloadPlay {
public:
    struct Result {
        double credit { 0 }; ///< Part of the worth of all requests; a late response has a tenth of it.
        double served { 0 }; ///< Part of the requests that got a response.
    };

    OverloadPlay(unsigned seed, bool refusesWhatEndsLate)
        : m_generator(seed)
        , m_refusesWhatEndsLate(refusesWhatEndsLate)
    {
        for (unsigned index = 0; index < targetCount; ++index) {
            auto& target = m_targets.emplace_back();
            target.target.id = "t" + std::to_string(index);
            target.load = TargetLoad { 0, 0, slots, 1 };
            m_all.push_back(&target);
        }
    }

    Result play()
    {
        m_events.schedule(0ms, [this] { changePhases(); });
        m_events.schedule(0ms, [this] { arrive(); });
        while (!m_events.isEmpty() && m_events.nextTime() < Core::Instant(duration))
            m_events.runNext();
        return { m_credit / m_worth, static_cast<double>(m_served) / m_requests };
    }

private:
    static constexpr unsigned targetCount = 10;
    static constexpr unsigned slots = 2;
    static constexpr double requestsPerSecond = 65;
    static constexpr double fractionOfOrders = 0.22;
    static constexpr auto duration = 40s;
    static constexpr auto roundTrip = 16ms;

    struct Request {
        bool isOrder { false };
        Core::Instant startedAt {};
        Core::Instant deadline {};
        unsigned retriesLeft { 2 };
    };
    struct Route {
        CallerTimeoutEstimate timeouts;
        ServiceTimeEstimate serviceTimes;
        QueueingEstimate queueing;
    };

    double uniform(double from, double to) { return std::uniform_real_distribution<double>(from, to)(m_generator); }

    void changePhases()
    {
        for (auto& target : m_targets)
            target.load->slowness = uniform(0, 1) < 0.25 ? 5 : 1;
        m_events.schedule(150ms, [this] { changePhases(); });
    }

    void arrive()
    {
        Request request;
        request.isOrder = uniform(0, 1) < fractionOfOrders;
        request.startedAt = m_events.now();
        auto const timeout = (request.isOrder ? 3000 : 2500) * uniform(0.85, 1);
        request.deadline = m_events.now() + std::chrono::milliseconds(static_cast<int>(timeout));
        ++m_requests;
        m_worth += request.isOrder ? 2 : 1;
        place(request);
        auto const gap = std::exponential_distribution<double>(requestsPerSecond)(m_generator);
        m_events.schedule(std::chrono::microseconds(static_cast<int>(gap * 1e6)), [this] { arrive(); });
    }

    void place(Request request)
    {
        auto& route = request.isOrder ? m_orders : m_lookups;
        Core::Duration const latencyTarget = request.isOrder ? 400ms : 300ms;
        auto const waited = route.timeouts.note(request.deadline - m_events.now());
        PlacementRequest placement;
        placement.isLate = isLate(waited, route.serviceTimes.typical(), latencyTarget);
        auto const maxCost = route.serviceTimes.maxCostWithin(latencyTarget - waited);
        if (m_refusesWhatEndsLate && route.serviceTimes.isKnown())
            placement.maxCostInTime = maxCost;
        if (route.queueing.shouldWait(uniform(0, 1)))
            placement.maxCostWithWaiting = maxCost;
        for (auto& target : m_targets)
            target.loadMeasuredAt = m_events.now();
        auto const choice = bestTarget(m_all, placement, {}, m_events.now());
        if (choice)
            start(request, *choice);
        else
            refuse(request);
    }

    void refuse(Request request)
    {
        auto const wait = roundTrip + std::chrono::milliseconds(static_cast<int>(uniform(100, 400)));
        if (request.retriesLeft-- == 0 || m_events.now() + wait >= request.deadline)
            return;
        m_events.schedule(wait, [this, request] { place(request); });
    }

    void start(Request const& request, TargetChoice const& choice)
    {
        auto& target = *std::ranges::find(
            m_targets, choice.target->target.id, [](auto const& entry) { return entry.target.id; });
        auto const mean = request.isOrder ? 160.0 : 120.0;
        auto const work = mean * uniform(0.6, 1.4) * target.load->slowness * (target.load->running > 0 ? 1.7 : 1);
        auto const ahead = target.load->running < slots ? 0 : 1 + target.load->waiting;
        // A waiting request starts when a running one ends; this is its share of the work ahead of it.
        Core::Duration const time = std::chrono::milliseconds(static_cast<int>(work + ahead * mean));
        ++(ahead > 0 ? target.load->waiting : target.load->running);
        m_events.schedule(time, [this, request, &target, cost = choice.cost, isWaiting = ahead > 0, time] {
            --(isWaiting ? target.load->waiting : target.load->running);
            end(request, cost, isWaiting, time);
        });
    }

    void end(Request const& request, double cost, bool wasWaiting, Core::Duration time)
    {
        if (m_events.now() >= request.deadline)
            return;
        auto& route = request.isOrder ? m_orders : m_lookups;
        route.serviceTimes.note(time, cost);
        bool const isInTime = m_events.now() - request.startedAt <= (request.isOrder ? 400ms : 300ms);
        if (wasWaiting)
            route.queueing.note(isInTime);
        ++m_served;
        m_credit += (request.isOrder ? 2 : 1) * (isInTime ? 1 : 0.1);
    }

    std::mt19937 m_generator;
    bool m_refusesWhatEndsLate;
    Tests::EventQueue m_events;
    std::list<DirectoryEntry> m_targets;
    std::vector<DirectoryEntry const*> m_all;
    Route m_lookups;
    Route m_orders;
    double m_credit { 0 };
    double m_worth { 0 };
    unsigned m_served { 0 };
    unsigned m_requests { 0 };
};

}

// Under overload with slow phases, requests that can only end late must not take the slots of those that can end in
// time. Callers must get more in time than without that rule, and not fewer responses in all.
TEST_CASE("Overload_TargetsWithSlowPhases_RefusingWhatEndsLateServesMoreInTime")
{
    for (unsigned seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        auto const before = OverloadPlay(seed, false).play();
        auto const after = OverloadPlay(seed, true).play();
        CAPTURE(before.credit, before.served, after.credit, after.served);
        CHECK(after.credit > before.credit);
        CHECK(after.served >= before.served);
    }
}
