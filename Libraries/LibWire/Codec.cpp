#include "EvidenceCodec.h"
#include "HeartbeatCodec.h"
#include <LibCore/Names.h>
#include <LibWire/Codec.h>
#include <Wire.pb.h>
#include <type_traits>

namespace Comfreysail::Wire {

namespace {

// In bytes. Settings texts are by far the largest messages; LibSettings has a lower limit for them.
constexpr size_t maxMessageBytes = size_t { 8 } * 1024 * 1024;

Core::Error malformed(std::string detail) { return { Core::ErrorKind::MalformedMessage, std::move(detail) }; }

struct BodyEncoder {
    Protobuf::Envelope& envelope;

    void operator()(Membership::Heartbeat const& body) const { encodeHeartbeat(body, *envelope.mutable_heartbeat()); }
    void operator()(Moves::EvidenceDelta const& body) const
    {
        encodeEvidence(body, *envelope.mutable_evidence_delta());
    }
    void operator()(SettingsRequest const& body) const
    {
        envelope.mutable_settings_request()->set_known_revision(body.knownRevision);
    }
    void operator()(SettingsReply const& body) const
    {
        auto& reply = *envelope.mutable_settings_reply();
        reply.set_revision(body.revision);
        reply.set_change_id(body.changeId);
        reply.set_hash(body.hash);
        reply.set_toml(body.toml);
    }
    void operator()(LoadReport const& body) const
    {
        auto& report = *envelope.mutable_load_report();
        report.set_service(body.service);
        report.set_availability_zone(body.availabilityZone);
        report.set_shard(body.shard);
        report.set_in_flight(body.inFlight);
        report.set_queued(body.queued);
        report.set_slots(body.slots);
    }
    void operator()(CrashReport const& body) const
    {
        envelope.mutable_crash_report()->set_fingerprint(body.fingerprint);
        envelope.mutable_crash_report()->set_target(body.target);
    }
    void operator()(MoveVerdict const& body) const
    {
        envelope.mutable_move_verdict()->set_move(body.move);
        envelope.mutable_move_verdict()->set_reason(body.reason);
    }
    void operator()(MoveRows const& body) const
    {
        auto& rows = *envelope.mutable_move_rows();
        for (auto const& row : body.rows) {
            auto& encoded = *rows.add_rows();
            encoded.set_move(row.move);
            encoded.set_row_version(row.rowVersion);
            encoded.set_json(row.json);
        }
    }
    void operator()(DrainNotice const& body) const { envelope.mutable_drain_notice()->set_is_leaving(body.isLeaving); }
};

/// True for a target name, '@' and the Unix time in milliseconds of the first send to the instance.
bool isTargetInstance(std::string_view text)
{
    auto const separator = text.find('@');
    if (separator == std::string_view::npos || !Core::isValidName(text.substr(0, separator)))
        return false;
    constexpr size_t maxDigits = 20;
    auto const time = text.substr(separator + 1);
    return !time.empty() && time.size() <= maxDigits && time.find_first_not_of("0123456789") == std::string_view::npos;
}

Core::Result<Body> decodeBody(Protobuf::Envelope const& envelope)
{
    using Envelope = Protobuf::Envelope;
    switch (envelope.body_case()) {
    case Envelope::kHeartbeat: {
        auto heartbeat = decodeHeartbeat(envelope.heartbeat(), envelope.sender(), envelope.incarnation());
        if (!heartbeat)
            return malformed("heartbeat with a member, state, port or beat list out of range");
        return Body { std::move(*heartbeat) };
    }
    case Envelope::kEvidenceDelta: {
        auto delta = decodeEvidence(envelope.evidence_delta());
        if (!delta)
            return malformed("evidence that refers outside its tables");
        return Body { std::move(*delta) };
    }
    case Envelope::kSettingsRequest:
        return Body { SettingsRequest { envelope.settings_request().known_revision() } };
    case Envelope::kSettingsReply: {
        auto const& reply = envelope.settings_reply();
        if (reply.revision() == 0)
            return malformed("settings without a revision");
        return Body { SettingsReply { reply.revision(), reply.change_id(), reply.hash(), reply.toml() } };
    }
    case Envelope::kLoadReport: {
        auto const& report = envelope.load_report();
        if (!Core::isValidName(report.service()) || !Core::isValidName(report.availability_zone()))
            return malformed("load report with an invalid name");
        return Body { LoadReport { report.service(), report.availability_zone(), report.shard(), report.in_flight(),
            report.queued(), report.slots() } };
    }
    case Envelope::kCrashReport: {
        auto const& report = envelope.crash_report();
        if (!isTargetInstance(report.target()))
            return malformed("crash report with an invalid target instance");
        return Body { CrashReport { report.fingerprint(), report.target() } };
    }
    case Envelope::kMoveVerdict: {
        auto const& verdict = envelope.move_verdict();
        if (verdict.move().empty())
            return malformed("verdict without a move");
        return Body { MoveVerdict { verdict.move(), verdict.reason() } };
    }
    case Envelope::kDrainNotice:
        return Body { DrainNotice { envelope.drain_notice().is_leaving() } };
    case Envelope::kMoveRows: {
        MoveRows moves;
        for (auto const& row : envelope.move_rows().rows()) {
            if (row.move().empty())
                return malformed("row without a move");
            moves.rows.push_back({ row.move(), row.row_version(), row.json() });
        }
        return Body { std::move(moves) };
    }
    case Envelope::BODY_NOT_SET:
        break;
    }
    return malformed("message of an unknown type");
}

}

std::string encode(Message const& message)
{
    Protobuf::Envelope envelope;
    envelope.set_sender(message.sender);
    envelope.set_incarnation(message.incarnation);
    envelope.set_sequence(message.sequence);
    std::visit(BodyEncoder { envelope }, message.body);
    return envelope.SerializeAsString();
}

Core::Result<Message> decode(std::string_view bytes)
{
    Protobuf::Envelope envelope;
    if (bytes.size() > maxMessageBytes)
        return malformed("message of " + std::to_string(bytes.size()) + " bytes");
    if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return malformed("not a protobuf message");
    if (!Core::isValidName(envelope.sender()))
        return malformed("message with an invalid sender name");
    auto body = decodeBody(envelope);
    if (Core::isError(body))
        return Core::errorOf(body);
    return Message { envelope.sender(), envelope.incarnation(), envelope.sequence(), Core::takeValue(std::move(body)) };
}

}
