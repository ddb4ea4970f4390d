#include "MoveTable.h"
#include <algorithm>
#include <set>

namespace Comfreysail::Daemon {

namespace {

Moves::Move toMove(Store::MoveRow const& row)
{
    Moves::Move move;
    move.id = row.id;
    move.kind = static_cast<Moves::MoveKind>(row.kind);
    move.service = row.service;
    move.from = row.from;
    move.to = row.to;
    move.start = row.start;
    move.finishBy = row.finishBy;
    move.state = static_cast<Moves::MoveState>(row.state);
    move.reason = row.reason;
    move.rowVersion = row.rowVersion;
    return move;
}

}

void MoveTable::replaceAll(std::vector<Store::MoveRow> const& rows, Core::WallTime now)
{
    std::set<std::string> present;
    for (auto const& row : rows) {
        present.insert(row.id);
        merge(row, now);
    }
    std::erase_if(m_entries, [&](auto const& item) { return !present.contains(item.first); });
}

void MoveTable::merge(Store::MoveRow const& row, Core::WallTime now)
{
    auto move = toMove(row);
    auto const known = m_entries.find(row.id);
    if (known != m_entries.end() && !Moves::mayReplace(known->second.move, move))
        return;
    if (move.state == Moves::MoveState::Paused) {
        // FIXME: The row does not contain the time of the pause, so each daemon uses the time when it learned of it.
        auto const wasPaused = known != m_entries.end() && known->second.move.pausedAt;
        move.pausedAt = wasPaused ? known->second.move.pausedAt : now;
    }
    m_entries[row.id] = { row, std::move(move) };
}

std::vector<Moves::Move> MoveTable::moves() const
{
    std::vector<Moves::Move> moves;
    moves.reserve(m_entries.size());
    for (auto const& [id, entry] : m_entries)
        moves.push_back(entry.move);
    std::stable_sort(moves.begin(), moves.end(),
        [](Moves::Move const& left, Moves::Move const& right) { return left.start < right.start; });
    return moves;
}

Wire::MoveRows MoveTable::rows() const
{
    Wire::MoveRows rows;
    rows.rows.reserve(m_entries.size());
    for (auto const& [id, entry] : m_entries)
        rows.rows.push_back({ id, entry.row.rowVersion, entry.row.toJson() });
    return rows;
}

}
