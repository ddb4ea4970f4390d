#pragma once

#include <LibMoves/Moves.h>
#include <string>
#include <vector>

/// Calls with the same properties; one row of a test table.
struct Calls {
    std::string version;
    unsigned target { 0 };
    std::string zone { "arima" };
    unsigned successes { 0 };
    unsigned failures { 0 };
    std::string route { "lookup" };
    int milliseconds { 10 };
    Comfreysail::Moves::Outcome failure { Comfreysail::Moves::Outcome::Failure };
    bool isCold { false };
};

inline Comfreysail::Core::WallTime startOfMove() { return Comfreysail::Core::fromUnixMilliseconds(1'800'000'000'000); }

inline Comfreysail::Moves::Move makeMove()
{
    Comfreysail::Moves::Move move;
    move.id = "m1";
    move.service = "orders";
    move.from = "v1";
    move.to = "v2";
    move.start = startOfMove();
    move.finishBy = startOfMove() + std::chrono::seconds(100);
    return move;
}

inline void recordCalls(
    Comfreysail::Moves::Evidence& evidence, std::vector<Calls> const& table, Comfreysail::Core::WallTime now)
{
    using Comfreysail::Moves::Outcome;
    for (auto const& calls : table) {
        for (unsigned index = 0; index < calls.successes + calls.failures; ++index)
            evidence.record(
                { "orders", calls.version, calls.route, calls.zone, calls.version + "-" + std::to_string(calls.target),
                    index < calls.successes ? Outcome::Success : calls.failure,
                    std::chrono::milliseconds(calls.milliseconds), calls.isCold, true },
                now);
    }
}
