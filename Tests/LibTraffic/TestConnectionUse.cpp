#include <LibTraffic/Traffic.h>
#include <Support/EventQueue.h>
#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>

using namespace Comfreysail;
using namespace Comfreysail::Traffic;
using namespace std::chrono_literals;

namespace {

/// Plays requests to one service through the choice of targets to probe and of the best one, and counts the connections
/// that are opened.
///
/// The load is that of the service quote-svc of glannau: 120 daemons with 2.7 requests a second each, 86 targets with 3
/// slots. A quarter of the targets is five times as slow at any time, redrawn every 150 ms, and four targets are always
/// slow. A daemon keeps a connection for 8 s without use. Probes take no time. A further target joins after 50 s.
class ConnectionPlay {
public:
    struct Result {
        double connectionsPerRequest { 0 };
        double slowFraction { 0 };   ///< Part of the requests that were sent to a target that was slow then.
        double unsentFraction { 0 }; ///< Part of the requests for which no target had room.
        double largestShare { 0 };   ///< Requests to the target with the most, as a multiple of the mean.
        unsigned unusedTargets { 0 };
        Core::Duration joinedUnusedFor { end
            - joinsAt }; ///< Time from when the last target joined to its first request.
    };

    ConnectionPlay(unsigned seed, bool usesSubset, double requestsPerSecond)
        : m_generator(seed)
        , m_usesSubset(usesSubset)
        , m_requestsPerSecond(requestsPerSecond)
    {
        for (unsigned index = 0; index <= targetCount; ++index) {
            auto& target = m_targets.at(index).registered;
            target.id = "target-" + std::to_string(index);
            target.service = "a";
            target.availabilityZone = zoneOf(index);
        }
        std::vector<RegisteredTarget> registered;
        for (unsigned index = 0; index < targetCount; ++index)
            registered.push_back(m_targets.at(index).registered);
        for (unsigned index = 0; index < daemonCount; ++index) {
            auto& daemon = m_daemons.emplace_back("vm-" + std::to_string(index), zoneOf(index));
            daemon.directory.replaceAll(registered, m_events.now());
        }
    }

    Result play()
    {
        m_events.schedule(0ms, [this] { changePhases(); });
        m_events.schedule(0ms, [this] { arrive(); });
        m_events.schedule(joinsAt - start, [this] { joinLast(); });
        while (m_events.now() < end)
            m_events.runNext();
        Result result;
        result.connectionsPerRequest = m_connections / m_requests;
        result.slowFraction = m_slowSends / m_requests;
        result.unsentFraction = m_unsent / m_requests;
        for (auto const& target : m_targets) {
            result.largestShare = std::max(result.largestShare, target.sends * targetCount / m_requests);
            result.unusedTargets += target.sends == 0 ? 1 : 0;
        }
        if (m_joinedUsedAt)
            result.joinedUnusedFor = *m_joinedUsedAt - joinsAt;
        return result;
    }

private:
    static constexpr unsigned daemonCount = 120;
    static constexpr unsigned targetCount = 86;
    static constexpr unsigned zones = 3;
    static constexpr unsigned slots = 3;
    static constexpr unsigned alwaysSlow = 4;
    static constexpr double slowness = 5;
    static constexpr double workMilliseconds = 160;
    static constexpr auto maxIdleTime = 8s;
    static constexpr Core::Instant start { 1h };
    static constexpr Core::Instant countedFrom { start + 20s };
    static constexpr Core::Instant joinsAt { start + 50s };
    static constexpr Core::Instant end { start + 60s };

    struct Target {
        RegisteredTarget registered;
        unsigned running { 0 };
        double slowness { 1 };
        double sends { 0 };
    };
    struct Daemon {
        Daemon(std::string const& daemonName, std::string ownZone)
            : name(daemonName)
            , zone(std::move(ownZone))
            , directory(daemonName)
        {
        }

        std::string name;
        std::string zone;
        TargetDirectory directory;
        RequestRateEstimate rate;
        std::map<unsigned, std::vector<Core::Instant>> idle; ///< Times of the last use, by target.
    };

    static std::string zoneOf(unsigned index) { return "z" + std::to_string(index % zones); }
    static unsigned indexOf(std::string const& id)
    {
        return static_cast<unsigned>(std::stoul(id.substr(id.find('-') + 1)));
    }

    double uniform(double from, double to) { return std::uniform_real_distribution<double>(from, to)(m_generator); }

    void changePhases()
    {
        for (unsigned index = 0; index <= targetCount; ++index)
            m_targets.at(index).slowness = index < alwaysSlow || uniform(0, 1) < 0.25 ? slowness : 1;
        m_events.schedule(150ms, [this] { changePhases(); });
    }

    void joinLast()
    {
        for (auto& daemon : m_daemons)
            daemon.directory.applyChanges({ m_targets.back().registered }, {}, m_events.now());
    }

    void arrive()
    {
        place(m_daemons[static_cast<size_t>(uniform(0, daemonCount))]);
        auto const gap = std::exponential_distribution<double>(daemonCount * m_requestsPerSecond)(m_generator);
        m_events.schedule(std::chrono::microseconds(static_cast<int>(gap * 1e6)), [this] { arrive(); });
    }

    bool isCounted() const { return m_events.now() >= countedFrom; }

    bool hasIdle(Daemon const& daemon, unsigned target) const
    {
        auto const found = daemon.idle.find(target);
        return found != daemon.idle.end() && !found->second.empty()
            && m_events.now() - found->second.back() <= maxIdleTime;
    }

    void takeConnection(Daemon& daemon, unsigned target)
    {
        auto& idle = daemon.idle[target];
        if (hasIdle(daemon, target)) {
            idle.pop_back();
            return;
        }
        idle.clear();
        m_connections += isCounted() ? 1 : 0;
    }

    ProbePreference preferenceOf(
        Daemon const& daemon, std::vector<DirectoryEntry const*> const& eligible, bool isFirstRound)
    {
        if (!m_usesSubset)
            return {};
        auto preference = probePreference(daemon.name, daemon.zone, eligible,
            { daemonCount, targetCount, daemon.rate.perSecond(m_events.now()) }, {}, isFirstRound, m_generator(),
            m_events.now());
        for (auto const* record : eligible) {
            if (hasIdle(daemon, indexOf(record->target.id)))
                preference.connected.insert(record->target.id);
        }
        return preference;
    }

    void place(Daemon& daemon)
    {
        daemon.rate.note(m_events.now());
        m_requests += isCounted() ? 1 : 0;
        PlacementOptions const options;
        PlacementRequest request;
        request.ownZone = daemon.zone;
        std::vector<std::string> probed;
        std::optional<TargetChoice> choice;
        for (unsigned round = 0; round < options.maxRounds; ++round) {
            auto const eligible = daemon.directory.eligible("a", std::nullopt, {}, m_events.now());
            auto const preference = preferenceOf(daemon, eligible, round == 0);
            for (auto const* record : targetsToProbe(eligible, request, probed, options, m_generator(), preference)) {
                probe(daemon, record->target.id);
                probed.push_back(record->target.id);
            }
            choice = bestTarget(eligible, request, options, m_events.now());
            if (choice && choice->cost <= options.goodEnoughCost)
                break;
        }
        if (choice)
            send(daemon, indexOf(choice->target->target.id));
        else
            m_unsent += isCounted() ? 1 : 0;
    }

    void probe(Daemon& daemon, std::string const& id)
    {
        auto const index = indexOf(id);
        takeConnection(daemon, index);
        daemon.idle[index].push_back(m_events.now());
        auto const& target = m_targets.at(index);
        daemon.directory.noteLoad(id,
            { std::min(target.running, slots), target.running - std::min(target.running, slots), slots,
                target.slowness },
            m_events.now());
    }

    void send(Daemon& daemon, unsigned index)
    {
        auto& target = m_targets.at(index);
        takeConnection(daemon, index);
        daemon.directory.noteSent(target.registered.id);
        if (isCounted()) {
            m_slowSends += target.slowness > 1 ? 1 : 0;
            ++target.sends;
        }
        if (index == targetCount && !m_joinedUsedAt)
            m_joinedUsedAt = m_events.now();
        ++target.running;
        auto const work = workMilliseconds * uniform(0.6, 1.4) * target.slowness * (target.running >= slots ? 1.7 : 1);
        m_events.schedule(std::chrono::milliseconds(static_cast<int>(work)), [this, &daemon, index] {
            --m_targets.at(index).running;
            daemon.directory.noteEnded(m_targets.at(index).registered.id);
            daemon.idle[index].push_back(m_events.now());
        });
    }

    std::mt19937_64 m_generator;
    bool m_usesSubset;
    double m_requestsPerSecond;
    Tests::EventQueue m_events { start };
    std::array<Target, targetCount + 1> m_targets; ///< The last one joins later.
    std::deque<Daemon> m_daemons;
    double m_connections { 0 };
    double m_requests { 0 };
    double m_slowSends { 0 };
    double m_unsent { 0 };
    std::optional<Core::Instant> m_joinedUsedAt;
};

}

// Guards against daemons that spread few requests over so many targets that connections expire between two uses, and
// against a subset so small that requests go to slow targets, or that leaves targets unused. A target that joined has
// to get a request within 2 s at a few requests a second, and within 4 s at one.
TEST_CASE("ConnectionUse_ManyDaemonsWithFewRequests_SubsetHalvesNewConnections", "[TargetSubset]")
{
    for (double const rate : { 2.7, 1.0 }) {
        for (unsigned seed = 1; seed <= 3; ++seed) {
            auto const before = ConnectionPlay(seed, false, rate).play();
            auto const after = ConnectionPlay(seed, true, rate).play();
            CAPTURE(rate, seed, before.connectionsPerRequest, after.connectionsPerRequest, before.slowFraction,
                after.slowFraction, before.largestShare, after.largestShare);
            CHECK(after.connectionsPerRequest <= before.connectionsPerRequest / 2);
            CHECK(after.slowFraction <= before.slowFraction + 0.01);
            CHECK(after.unsentFraction <= before.unsentFraction + 0.001);
            CHECK(after.unusedTargets <= before.unusedTargets);
            CHECK(after.joinedUnusedFor < (rate > 2 ? 2s : 4s));
        }
    }
}
