#pragma once

#include <LibOverload/Overload.h>
#include <LibTraffic/Traffic.h>
#include <Support/EventQueue.h>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace Comfreysail::Tests {

/// One kind of requests of the played service.
struct PlayedKind {
    std::string name;
    double perSecond { 0 };
    Core::Duration work {};
    Core::Duration latencyTarget {};
    Core::Duration limit {}; ///< Longest time that a caller waits; callers start with 85 to 100% of it.
    Core::Duration timeout {};
    double worth { 1 };
    double worthIfLate { 0.1 };
    unsigned rank { 0 };
    unsigned retries { 1 }; ///< How often a refused caller comes back.
    double burst { 1 };     ///< Multiple of the rate during the burst.
    std::string department {};
};

struct PlayedLoad {
    std::vector<PlayedKind> kinds;
    unsigned daemons { 30 };
    unsigned targets { 22 };
    unsigned slots { 3 };
    unsigned queue { 6 };            ///< Waiting requests that a target accepts.
    double slowPart { 0.27 };        ///< Part of the targets that are slow, drawn again every 150 ms.
    double nearlyFullFactor { 1.7 }; ///< Work that begins beyond four fifths of the slots takes this multiple.
    double longPart { 0 };           ///< Part of the requests that take 7 times as long.
    bool isRegular { false };        ///< Requests arrive at equal distances and all have the same work.
    Core::Duration reportDelay {};   ///< The daemons get load reports that are this old.
    Core::Duration burstFrom { std::chrono::seconds(5) };
    Core::Duration burstUntil { std::chrono::seconds(10) };
    unsigned targetsLostInBurst { 0 };
    Core::Duration duration { std::chrono::seconds(15) };
};

/// What the callers of one kind got. The fields up to `refused` are numbers of callers that arrived during the burst.
struct PlayedResult {
    unsigned callers { 0 };
    unsigned onTime { 0 };
    unsigned late { 0 };
    unsigned refused { 0 };             ///< Not served at all.
    unsigned refusals { 0 };            ///< Attempts of these callers that ended with 503.
    unsigned refusalsOfReturning { 0 }; ///< Those of callers that had been refused before.
    unsigned returns { 0 };

    double onTimePart() const { return callers == 0 ? 1 : static_cast<double>(onTime) / callers; }
    double servedPart() const { return callers == 0 ? 1 : static_cast<double>(onTime + late) / callers; }
};

/// Plays callers, daemons and targets of one service through the functions that decide in the daemon: the placement by
/// load reports, the decision under shortage and Retry-After. Daemons share nothing but the targets.
class ShortagePlay {
public:
    ShortagePlay(PlayedLoad, Overload::OverloadOptions, unsigned seed);

    void play();

    std::vector<PlayedResult> const& results() const { return m_results; }
    /// Worth of what was served, as a part of the worth of all callers of the burst.
    double credit() const;
    double servedPart() const;
    /// Times at which refused callers came back.
    std::vector<Core::Instant> const& returnTimes() const { return m_returnTimes; }
    /// Sends of each kind in each 250 ms.
    std::vector<std::vector<unsigned>> const& sendsByPeriod() const { return m_sendsByPeriod; }
    Core::Duration longestHold() const { return m_longestHold; }
    /// Rounds in which targets were asked for their load.
    unsigned rounds() const { return m_rounds; }
    std::string text() const;

private:
    struct Target {
        unsigned running { 0 };
        unsigned waiting { 0 };
        double slowness { 1 };
        bool isLost { false };
        std::deque<std::function<void()>> queue;
        std::deque<std::pair<Core::Instant, Traffic::TargetLoad>> history;
    };
    struct Caller {
        size_t kind { 0 };
        Core::Instant startedAt {};
        Core::Instant deadline {};
        unsigned retriesLeft { 0 };
        bool isCounted { false };
        bool wasRefused { false };
    };
    struct Attempt {
        Caller caller;
        size_t daemon { 0 };
        Core::Instant arrivedAt {};
        Core::Duration earlierWait {};
        double draw { 0 };
        unsigned sends { 0 };
    };
    struct Route {
        Traffic::CallerTimeoutEstimate timeouts;
        Traffic::ServiceTimeEstimate serviceTimes;
        Traffic::QueueingEstimate queueing;
        Overload::WorkEstimate work;
    };
    struct Daemon {
        std::vector<Traffic::DirectoryEntry> entries;
        std::map<size_t, Route> routes;
        Overload::SpareCapacity capacity;
        Overload::DepartmentShares departments;
        Overload::OfferedWork offered;
    };

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_generator); }
    bool isBurst() const;
    void changePhases();
    void arrive(size_t kind);
    void attempt(Caller const&);
    void place(Attempt const&);
    Overload::DecisionInput inputOf(Attempt const&);
    Traffic::PlacementRequest placementOf(Attempt const&);
    std::optional<Traffic::TargetChoice> probeAndChoose(Attempt const&);
    void askTarget(Daemon&, size_t target);
    void send(Attempt const&, size_t target, double cost);
    void start(Attempt const&, size_t target, double cost, Core::Instant sentAt, bool hasWaited);
    void end(Attempt const&, double cost, Core::Instant sentAt, bool hasWaited);
    void noteHistory(Target&);
    void refuse(Attempt const&);
    void lose(Caller const&);

    PlayedLoad m_load;
    Overload::OverloadOptions m_options;
    std::mt19937 m_generator;
    Overload::ServiceRanks m_ranks;
    EventQueue m_events;
    std::vector<Target> m_targets;
    std::vector<Daemon> m_daemons;
    std::vector<PlayedResult> m_results;
    std::vector<Core::Instant> m_returnTimes;
    std::vector<std::vector<unsigned>> m_sendsByPeriod;
    Core::Duration m_longestHold {};
    unsigned m_rounds { 0 };
};

}
