#include <LibWire/Wire.h>
#include <Wire.pb.h>
#include <catch2/catch.hpp>

using namespace Comfreysail;
using namespace Comfreysail::Wire;

namespace {

Membership::Member member(std::string name, uint64_t incarnation)
{
    return { std::move(name), incarnation, "arima", "127.0.0.1", 8000, 9000, Membership::MemberState::Draining };
}

std::vector<Body> bodies()
{
    Membership::Heartbeat heartbeat { { member("vm-1", 77), 70'000 }, 5, 99, { 1, 256, 65'535 },
        { { member("vm-2", 3), 4 } }, true };
    Moves::EvidenceKey const key { "orders", "v2", "submit", "arima", 4'000'000'000 };
    Moves::EvidenceDelta evidence { { { "vm-1", 77, key, -1'800'000'000'000, { 1, 2, 3, 4, 5, 6, 7 } },
        { "vm-2", 3, key, 1'800'000'000, { 9, 0, 0, 0, 0, 0, ~uint64_t { 0 } } } } };
    return { heartbeat, SettingsRequest { 3 }, SettingsReply { 4, "change", "hash", "[defaults]\n" },
        LoadReport { "orders", "arima", 1, 2, 3, 4 }, CrashReport { ~uint64_t { 0 }, "target-1@1796380109479" },
        evidence, MoveVerdict { "m1", "route=submit" }, DrainNotice { true }, MoveRows { { { "m1", 3, "{}" } } },
        MoveRows {}, Moves::EvidenceDelta {} };
}

std::string envelopeWith(std::function<void(Protobuf::Envelope&)> const& change)
{
    Protobuf::Envelope envelope;
    envelope.set_sender("vm-1");
    change(envelope);
    return envelope.SerializeAsString();
}

}

// A field missing from a conversion would silently be zero at the receiver.
TEST_CASE("Codec_EveryMessage_IsTheSameAfterDecoding")
{
    for (auto const& body : bodies()) {
        CAPTURE(body.index());
        Message const message { "vm-1", 77, 12, body };
        auto const decoded = decode(encode(message));
        REQUIRE_FALSE(Core::isError(decoded));
        CHECK(Core::valueOf(decoded) == message);
    }
}

// A truncated message must not crash the daemon and must be rejected or decode to a value other than the original.
TEST_CASE("Codec_TruncatedMessage_GivesMalformedMessageOrAnotherValue")
{
    for (auto const& body : bodies()) {
        Message const message { "vm-1", 77, 12, body };
        auto const bytes = encode(message);
        for (size_t length = 0; length < bytes.size(); ++length) {
            auto const decoded = decode(std::string_view(bytes).substr(0, length));
            if (Core::isError(decoded))
                CHECK(Core::errorOf(decoded).kind == Core::ErrorKind::MalformedMessage);
            else
                CHECK_FALSE(Core::valueOf(decoded) == message);
        }
    }
}

// A faulty or newer peer may send values out of range; unchecked, they would be read out of bounds or truncated.
TEST_CASE("Codec_ValueOutOfRange_GivesMalformedMessage")
{
    using Protobuf::Envelope;
    auto const heartbeatWith = [](auto change) {
        return [change](Envelope& envelope) {
            auto& sender = *envelope.mutable_heartbeat()->mutable_sender();
            sender.set_availability_zone("arima");
            sender.set_address("127.0.0.1");
            change(*envelope.mutable_heartbeat());
        };
    };
    std::vector<std::pair<std::string, std::function<void(Envelope&)>>> const cases {
        { "no body", [](Envelope&) {} },
        { "sender name", [](Envelope& envelope) { envelope.set_sender("A b"), envelope.mutable_drain_notice(); } },
        { "port", heartbeatWith([](auto& heartbeat) { heartbeat.mutable_sender()->set_peer_http_port(70'000); }) },
        { "state", heartbeatWith([](auto& heartbeat) { heartbeat.mutable_sender()->set_state(3); }) },
        { "odd beats", heartbeatWith([](auto& heartbeat) { heartbeat.set_beats("abc"); }) },
        { "too many beats", heartbeatWith([](auto& heartbeat) { heartbeat.set_beats(std::string(20'000, 'a')); }) },
        { "unnamed change", heartbeatWith([](auto& heartbeat) { heartbeat.add_changes(); }) },
        { "evidence count", [](Envelope& envelope) { envelope.mutable_evidence_delta()->add_entries(0); } },
        { "evidence index",
            [](Envelope& envelope) {
                envelope.mutable_evidence_delta()->add_names("orders");
                envelope.mutable_evidence_delta()->add_slots(1);
                envelope.mutable_evidence_delta()->add_slots(2);
                for (int origin = 0; origin < 2; ++origin) {
                    envelope.mutable_evidence_delta()->add_origins("vm-1");
                    envelope.mutable_evidence_delta()->add_origin_incarnations(1);
                }
                for (int index = 0; index < 14; ++index)
                    envelope.mutable_evidence_delta()->add_entries(1);
            } },
        { "settings revision", [](Envelope& envelope) { envelope.mutable_settings_reply()->set_toml("a = 1"); } },
        { "load name", [](Envelope& envelope) { envelope.mutable_load_report()->set_service("/"); } },
        { "crash target", [](Envelope& envelope) { envelope.mutable_crash_report()->set_target(""); } },
        { "row of a move", [](Envelope& envelope) { envelope.mutable_move_rows()->add_rows(); } },
        { "verdict move", [](Envelope& envelope) { envelope.mutable_move_verdict()->set_reason("r"); } },
    };
    for (auto const& [name, change] : cases) {
        CAPTURE(name);
        auto const decoded = decode(envelopeWith(change));
        REQUIRE(Core::isError(decoded));
        CHECK(Core::errorOf(decoded).kind == Core::ErrorKind::MalformedMessage);
    }
}
