#pragma once

#include "ClaimFixture.h"
#include <functional>
#include <unordered_set>

namespace Comfreysail::Claims {

using StepFunction = std::function<ClaimStep(ClaimState const&, ClaimEvent const&, Core::WallTime)>;

/// Limits of the explored state space: how many holders and how many faults of each kind.
struct ModelLimits {
    unsigned holders { 2 };
    unsigned lostAnswers { 2 }; ///< Lost answers to writes. The write may be committed before, later or never.
    unsigned storeFailures { 1 };
    unsigned crashes { 1 };
    bool clockAdvances { false }; ///< First past all start-by times, then past the expiry of the first rows.
    bool targetEnforcesStartBy { true };
    StepFunction step { nextStep };
};

/// Explores every interleaving of the steps of several holders that race for one key. A pause of a holder is covered by
/// the interleavings in which only the others make steps.
class ClaimModel {
public:
    explicit ClaimModel(ModelLimits);

    /// Returns the first violated rule, or std::nullopt if there is none.
    std::optional<std::string> explore();

    size_t stateCount() const { return m_seen.size(); }

private:
    enum class Call : uint8_t { None, Write, Read, Answered };
    enum class Request : uint8_t { None, InFlight, Ran };

    struct Write {
        ClaimRow row;
        int64_t expectedVersion { 0 };
    };

    struct Holder {
        bool isRunning { false };
        bool hasCrashed { false };
        unsigned sends { 0 };
        unsigned era { 0 };
        ClaimState state;
        Call call { Call::None };
        ClaimEvent answer; ///< Answer of the table service, in flight if `call` is Answered.
        bool isAnswerToWrite { false };
        std::vector<Write> delayedWrites;
        Request request { Request::None };
        bool waitsForResponse { false }; ///< The holder waits for the target's response.
        bool wasAnsweredNotRun { false };
        bool hasRun { false };
    };

    struct World {
        std::vector<Holder> holders;
        std::optional<VersionedRow> stored;
        int64_t lastVersion { 0 };
        unsigned lostAnswers { 0 };
        unsigned storeFailures { 0 };
        unsigned crashes { 0 };
        unsigned era { 0 };
        std::vector<unsigned> runsInEra { 0, 0 };
    };

    Core::WallTime now(World const&) const;
    std::string encodeState(World const&) const;
    std::optional<std::string> exploreFrom(World);
    std::vector<World> successors(World const&) const;
    void addCallSteps(World const&, size_t holder, std::vector<World>&) const;
    void addRequestSteps(World const&, size_t holder, std::vector<World>&) const;
    void addWorldSteps(World const&, std::vector<World>&) const;
    void deliverEvent(World&, size_t holder, ClaimEvent const&) const;
    void applyStep(Holder&, ClaimStep) const;
    static ClaimEvent applyWrite(World&, Write const&);
    static std::optional<std::string> violatedRule(World const&);

    ModelLimits m_limits;
    std::unordered_set<std::string> m_seen;
};

}
