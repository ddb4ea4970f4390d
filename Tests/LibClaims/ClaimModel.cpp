#include "ClaimModel.h"
#include <algorithm>

namespace Comfreysail::Claims {

namespace {

// Era 0: before the start-by time. Era 1: after it and the timeout. Era 2: after the expiry of rows from era 0.
constexpr unsigned lastEra = 2;

}

ClaimModel::ClaimModel(ModelLimits limits)
    : m_limits(std::move(limits))
{
}

Core::WallTime ClaimModel::now(World const& world) const { return start + world.era * 3 * second; }

std::optional<std::string> ClaimModel::explore()
{
    World world;
    world.holders.resize(m_limits.holders);
    return exploreFrom(world);
}

std::optional<std::string> ClaimModel::exploreFrom(World first)
{
    std::vector<World> pending { std::move(first) };
    while (!pending.empty()) {
        auto const world = std::move(pending.back());
        pending.pop_back();
        if (auto violation = violatedRule(world))
            return violation;
        for (auto& next : successors(world)) {
            if (m_seen.insert(encodeState(next)).second)
                pending.push_back(std::move(next));
        }
    }
    return std::nullopt;
}

std::string ClaimModel::encodeState(World const& world) const
{
    std::string text;
    auto const add = [&](auto value) { text.append(std::to_string(static_cast<int64_t>(value))).append(1, ','); };
    auto const addRow = [&](ClaimRow const& row) {
        text.append(row.claimId);
        add(row.state);
        add(row.startBy.time_since_epoch().count());
    };
    for (auto const& holder : world.holders) {
        add(holder.isRunning + 2 * holder.hasCrashed + 4 * holder.waitsForResponse + 8 * holder.wasAnsweredNotRun
            + 16 * holder.hasRun + 32 * holder.state.mayBeWritten + 64 * holder.state.isAnswered
            + 128 * holder.isAnswerToWrite);
        add(holder.sends);
        add(holder.state.phase);
        addRow(holder.state.row);
        add(holder.state.expectedVersion);
        add(holder.call);
        add(holder.request);
        if (holder.call == Call::Answered) {
            add(holder.answer.index());
            if (auto const* committed = std::get_if<WriteCommitted>(&holder.answer))
                add(committed->version);
            auto const* conflicted = std::get_if<WriteConflicted>(&holder.answer);
            auto const* read = std::get_if<RowRead>(&holder.answer);
            auto const found = conflicted ? conflicted->found : read ? read->found : std::nullopt;
            if (found) {
                addRow(found->row);
                add(found->version);
            }
        }
        for (auto const& delayed : holder.delayedWrites) {
            addRow(delayed.row);
            add(delayed.expectedVersion);
        }
        text.append(1, ';');
    }
    if (world.stored) {
        addRow(world.stored->row);
        add(world.stored->version);
    }
    for (auto value : { world.lostAnswers, world.storeFailures, world.crashes, world.era, world.runsInEra[0],
             world.runsInEra[1], static_cast<unsigned>(world.lastVersion) })
        add(value);
    return text;
}

std::optional<std::string> ClaimModel::violatedRule(World const& world)
{
    if (world.runsInEra[0] > 1 || world.runsInEra[1] > 1)
        return "the request ran twice";
    for (auto const& holder : world.holders) {
        if (holder.wasAnsweredNotRun && holder.hasRun)
            return "a request that was refused as not run has run";
        if (holder.hasRun && holder.era == 0 && world.runsInEra[1] > 0 && world.runsInEra[0] == 0)
            return "a holder ran the request after its row expired";
    }
    if (world.stored && world.stored->row.state == RowState::Released) {
        auto const& holder = world.holders.at(static_cast<size_t>(world.stored->row.claimId.front() - 'a'));
        if (holder.hasRun || holder.request == Request::InFlight)
            return "a released claim runs";
    }
    return std::nullopt;
}

std::vector<ClaimModel::World> ClaimModel::successors(World const& world) const
{
    std::vector<World> next;
    addWorldSteps(world, next);
    for (size_t index = 0; index < world.holders.size(); ++index) {
        addCallSteps(world, index, next);
        addRequestSteps(world, index, next);
    }
    return next;
}

void ClaimModel::addWorldSteps(World const& world, std::vector<World>& next) const
{
    if (m_limits.clockAdvances && world.era < lastEra)
        ++next.emplace_back(world).era;
    if (world.stored && world.stored->row.expiresAt <= now(world))
        next.emplace_back(world).stored.reset();
    for (size_t index = 0; index < world.holders.size(); ++index) {
        auto const& holder = world.holders[index];
        // The holders are interchangeable, so it is sufficient to start them in order.
        if (!holder.isRunning && (index == 0 || world.holders[index - 1].isRunning)) {
            auto& copy = next.emplace_back(world);
            auto row = exampleRow(std::string(1, static_cast<char>('a' + index)));
            row.startBy = now(world) + second;
            row.expiresAt = now(world) + 6 * second;
            copy.holders[index].isRunning = true;
            copy.holders[index].era = world.era;
            applyStep(copy.holders[index], firstStep(std::move(row)));
        }
        if (holder.isRunning && !holder.hasCrashed && world.crashes < m_limits.crashes) {
            auto& copy = next.emplace_back(world);
            ++copy.crashes;
            copy.holders[index].hasCrashed = true;
            // A write in flight may still be committed after the crash.
            if (holder.call == Call::Write)
                copy.holders[index].delayedWrites.push_back({ holder.state.row, holder.state.expectedVersion });
            copy.holders[index].call = Call::None;
        }
        for (size_t delayed = 0; delayed < holder.delayedWrites.size(); ++delayed) {
            auto& copy = next.emplace_back(world);
            applyWrite(copy, holder.delayedWrites[delayed]);
            auto& writes = copy.holders[index].delayedWrites;
            writes.erase(writes.begin() + static_cast<std::ptrdiff_t>(delayed));
        }
    }
}

void ClaimModel::addCallSteps(World const& world, size_t index, std::vector<World>& next) const
{
    auto const& holder = world.holders[index];
    if (holder.hasCrashed || !holder.isRunning)
        return;
    if (holder.state.phase == ClaimPhase::Inserting || holder.state.phase == ClaimPhase::Resolving)
        deliverEvent(next.emplace_back(world), index, WaitEnded {});
    if (holder.call == Call::None)
        return;
    bool const isWrite = holder.call == Call::Write || (holder.call == Call::Answered && holder.isAnswerToWrite);
    if (holder.call == Call::Answered) {
        deliverEvent(next.emplace_back(world), index, holder.answer);
    } else {
        auto& applied = next.emplace_back(world);
        auto& caller = applied.holders[index];
        caller.answer = isWrite ? applyWrite(applied, { caller.state.row, caller.state.expectedVersion })
                                : ClaimEvent(RowRead { applied.stored });
        caller.isAnswerToWrite = isWrite;
        caller.call = Call::Answered;
        if (world.storeFailures < m_limits.storeFailures) {
            auto& failed = next.emplace_back(world);
            ++failed.storeFailures;
            deliverEvent(failed, index, StoreDown {});
        }
    }
    if (isWrite && world.lostAnswers < m_limits.lostAnswers) {
        auto& lost = next.emplace_back(world);
        ++lost.lostAnswers;
        if (holder.call == Call::Write)
            lost.holders[index].delayedWrites.push_back({ holder.state.row, holder.state.expectedVersion });
        deliverEvent(lost, index, CommitAnswerLost {});
    }
}

void ClaimModel::addRequestSteps(World const& world, size_t index, std::vector<World>& next) const
{
    auto const& holder = world.holders[index];
    bool const isHeld = !holder.hasCrashed && holder.isRunning && holder.state.phase == ClaimPhase::Held;
    if (isHeld)
        deliverEvent(next.emplace_back(world), index, GaveUp {});
    if (isHeld && holder.sends < 2) {
        auto& copy = next.emplace_back(world);
        deliverEvent(copy, index, SendStarted {});
        auto& sender = copy.holders[index];
        if (sender.state.phase == ClaimPhase::Sent) {
            ++sender.sends;
            sender.request = Request::InFlight;
            sender.waitsForResponse = true;
        }
    }
    if (holder.request == Request::InFlight) {
        bool const isTooLate = m_limits.targetEnforcesStartBy && now(world) > holder.state.row.startBy;
        auto& copy = next.emplace_back(world);
        copy.holders[index].request = isTooLate ? Request::None : Request::Ran;
        if (!isTooLate) {
            copy.holders[index].hasRun = true;
            ++copy.runsInEra[world.era == lastEra ? 1 : 0];
        }
        // The send fails, and the request reaches no target.
        auto& failed = next.emplace_back(world);
        failed.holders[index].request = Request::None;
    }
    if (!holder.waitsForResponse || holder.hasCrashed)
        return;
    auto const addOutcome = [&](ClaimEvent const& event) {
        auto& copy = next.emplace_back(world);
        copy.holders[index].waitsForResponse = false;
        deliverEvent(copy, index, event);
    };
    addOutcome(SendOutcomeUnknown {});
    if (holder.request == Request::Ran)
        addOutcome(AnswerReceived { 201 });
    if (holder.request == Request::None)
        addOutcome(SendDidNotRun {});
}

void ClaimModel::deliverEvent(World& world, size_t index, ClaimEvent const& event) const
{
    auto& holder = world.holders[index];
    bool const isCallResult = event.index() <= ClaimEvent(RowRead {}).index();
    if (isCallResult)
        holder.call = Call::None;
    applyStep(holder, m_limits.step(holder.state, event, now(world)));
}

void ClaimModel::applyStep(Holder& holder, ClaimStep step) const
{
    holder.state = std::move(step.state);
    if (step.action != StoreAction::None)
        holder.call = step.action == StoreAction::Write ? Call::Write : Call::Read;
    if (step.answer) {
        auto const* error = std::get_if<Core::Error>(&*step.answer);
        if (error && Core::errorRule(error->kind).outcome == Core::RequestOutcome::NotRun)
            holder.wasAnsweredNotRun = true;
    }
}

ClaimEvent ClaimModel::applyWrite(World& world, Write const& write)
{
    auto const version = world.stored ? world.stored->version : 0;
    if (version != write.expectedVersion)
        return WriteConflicted { world.stored };
    // The version is global, because versions are never reused, even after a row was deleted.
    world.stored = VersionedRow { write.row, ++world.lastVersion };
    return WriteCommitted { world.lastVersion };
}

}
