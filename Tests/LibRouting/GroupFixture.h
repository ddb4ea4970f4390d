#pragma once

#include <LibRouting/Routing.h>
#include <catch2/catch.hpp>
#include <deque>
#include <string>
#include <vector>

namespace Comfreysail::Routing {

/// A group of five warm targets with two slots each, and a clock that the test advances.
class GroupFixture {
public:
    GroupFixture()
        : m_group(makeGroup(DispatchMode::Home))
    {
        warmUp();
    }

    static std::string name(size_t target) { return "t" + std::to_string(target); }

    static std::vector<Target> targets(size_t count = 5)
    {
        std::vector<Target> list;
        for (size_t target = 0; target < count; ++target)
            list.push_back({ name(target), "127.0.0.1", 80, "pos-hall", "v1", 2 });
        return list;
    }

    TargetGroup makeGroup(DispatchMode mode) const
    {
        return TargetGroup({ "orders", "pos-hall", 0 }, targets(), { mode, 1, std::chrono::milliseconds(0) }, m_now);
    }

    /// Sends requests and answers each after 10 ms until every target is warm.
    void warmUp()
    {
        for (size_t round = 0; round < 400; ++round) {
            send(5);
            pass(10);
            answerAll(SendOutcome::Answered, {});
        }
    }

    void pass(int64_t milliseconds) { m_now += std::chrono::milliseconds(milliseconds); }

    /// Sends requests until the limit is reached or the group takes no more. Returns the number sent.
    size_t send(size_t limit, PickRequest const& request = {})
    {
        size_t sent = 0;
        while (sent < limit) {
            auto const pick = m_group.pick(request, m_now);
            if (Core::isError(pick))
                break;
            m_open.push_back({ Core::valueOf(pick).target, m_now });
            ++sent;
        }
        return sent;
    }

    size_t openOn(std::string const& target) const
    {
        return static_cast<size_t>(
            std::count_if(m_open.begin(), m_open.end(), [&](auto const& open) { return open.target == target; }));
    }

    /// Finishes the oldest request on a target.
    void answer(std::string const& target, SendOutcome outcome, LoadHint const& hint)
    {
        auto const open = std::find_if(
            m_open.begin(), m_open.end(), [&](auto const& candidate) { return candidate.target == target; });
        REQUIRE(open != m_open.end());
        m_group.noteFinished(target, outcome, open->sentAt, hint, m_now);
        m_open.erase(open);
    }

    void answerAll(SendOutcome outcome, LoadHint const& hint, std::string const& except = {})
    {
        auto const open = m_open;
        for (auto const& request : open) {
            if (request.target != except)
                answer(request.target, outcome, hint);
        }
    }

protected:
    struct OpenRequest {
        std::string target;
        Core::Instant sentAt;
    };

    Core::Instant m_now { std::chrono::seconds(1000) };
    TargetGroup m_group;
    std::vector<OpenRequest> m_open;
};

}
