#include <LibMoves/Moves.h>
#include <catch2/catch.hpp>

using namespace Comfreysail;
using namespace Comfreysail::Moves;

// The operators' tool and the daemons exchange rows; a field that is lost changes the move.
TEST_CASE("MoveRow_EncodedAndDecoded_IsTheSame")
{
    Move move { "m1", MoveKind::Department, "orders", "appeals", "v1", "v2", Core::fromUnixMilliseconds(1000),
        Core::fromUnixMilliseconds(9000), MoveState::Paused, Core::fromUnixMilliseconds(3000), "by hand", 7 };
    auto const decoded = decodeMoveRow("m1", 7, encodeMoveRow(move));
    REQUIRE_FALSE(Core::isError(decoded));
    CHECK(Core::valueOf(decoded) == move);
}

// A row that somebody wrote by hand must not stop the poll of the others.
TEST_CASE("MoveRow_Malformed_GivesMalformedMessage")
{
    auto const text = GENERATE(as<std::string>(), "", "[]", "{}", R"({"kind":"version"})",
        R"({"kind":"version","state":"declared","service":"s","to":"v2","start_ms":9,"finish_by_ms":1})",
        R"({"kind":"version","state":"declared","service":"","to":"v2","start_ms":1,"finish_by_ms":9})",
        R"({"kind":"department","state":"declared","start_ms":1,"finish_by_ms":9})");
    auto const decoded = decodeMoveRow("m1", 1, text);
    REQUIRE(Core::isError(decoded));
    CHECK(Core::errorOf(decoded).kind == Core::ErrorKind::MalformedMessage);
}
