#pragma once

#include <LibCore/Result.h>
#include <LibMoves/Move.h>
#include <string>
#include <string_view>

namespace Comfreysail::Moves {

/// The value of a row `moves/<id>`: a JSON object with "kind" ("version", "availability_zone", "department"),
/// "service", "department", "from", "to", "start_ms", "finish_by_ms", "state" ("declared", "paused", "done",
/// "taken_back"), "paused_at_ms" and "reason". Times are Unix milliseconds.
std::string encodeMoveRow(Move const&);

/// Errors: MalformedMessage, with what is wrong.
Core::Result<Move> decodeMoveRow(std::string id, uint64_t rowVersion, std::string_view json);

std::string_view moveKindName(MoveKind);
std::string_view moveStateName(MoveState);

}
