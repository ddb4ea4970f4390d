#include "HeartbeatCodec.h"
#include <LibCore/Names.h>
#include <Wire.pb.h>
#include <limits>

namespace Comfreysail::Wire {

namespace {

constexpr size_t maxMembers = 4096;
constexpr size_t maxAddressLength = 64;

void encodeMember(Membership::MemberEntry const& entry, bool isSender, Protobuf::Member& member)
{
    if (!isSender) {
        member.set_name(entry.member.name);
        member.set_incarnation(entry.member.incarnation);
    }
    member.set_availability_zone(entry.member.availabilityZone);
    member.set_address(entry.member.address);
    member.set_peer_http_port(entry.member.peerHttpPort);
    member.set_peer_message_port(entry.member.peerMessagePort);
    member.set_state(static_cast<uint32_t>(entry.member.state));
    member.set_beat(entry.beat);
}

std::optional<Membership::MemberEntry> decodeMember(
    Protobuf::Member const& member, std::string const& name, uint64_t incarnation)
{
    constexpr auto maxPort = std::numeric_limits<uint16_t>::max();
    if (!Core::isValidName(name) || !Core::isValidName(member.availability_zone()) || member.address().empty()
        || member.address().size() > maxAddressLength || member.peer_http_port() > maxPort
        || member.peer_message_port() > maxPort
        || member.state() > static_cast<uint32_t>(Membership::MemberState::Left))
        return {};
    return Membership::MemberEntry { { name, incarnation, member.availability_zone(), member.address(),
                                         static_cast<uint16_t>(member.peer_http_port()),
                                         static_cast<uint16_t>(member.peer_message_port()),
                                         static_cast<Membership::MemberState>(member.state()) },
        member.beat() };
}

}

void encodeHeartbeat(Membership::Heartbeat const& heartbeat, Protobuf::Heartbeat& encoded)
{
    encodeMember(heartbeat.sender, true, *encoded.mutable_sender());
    encoded.set_settings_revision(heartbeat.settingsRevision);
    encoded.set_view_hash(heartbeat.viewHash);
    auto& beats = *encoded.mutable_beats();
    beats.reserve(2 * heartbeat.beats.size());
    for (auto const beat : heartbeat.beats) {
        beats.push_back(static_cast<char>(beat & 0xff));
        beats.push_back(static_cast<char>(beat >> 8));
    }
    for (auto const& change : heartbeat.changes)
        encodeMember(change, false, *encoded.add_changes());
    encoded.set_is_full(heartbeat.isFull);
}

std::optional<Membership::Heartbeat> decodeHeartbeat(
    Protobuf::Heartbeat const& encoded, std::string const& sender, uint64_t incarnation)
{
    auto const& beats = encoded.beats();
    auto const changeCount = static_cast<size_t>(encoded.changes_size());
    if (beats.size() % 2 != 0 || beats.size() / 2 > maxMembers || changeCount > maxMembers)
        return {};
    auto const senderEntry = decodeMember(encoded.sender(), sender, incarnation);
    if (!senderEntry)
        return {};

    Membership::Heartbeat heartbeat;
    heartbeat.sender = *senderEntry;
    heartbeat.settingsRevision = encoded.settings_revision();
    heartbeat.viewHash = encoded.view_hash();
    heartbeat.isFull = encoded.is_full();
    heartbeat.beats.reserve(beats.size() / 2);
    for (size_t index = 0; index < beats.size(); index += 2) {
        auto const low = static_cast<uint8_t>(beats[index]);
        auto const high = static_cast<uint8_t>(beats[index + 1]);
        heartbeat.beats.push_back(static_cast<uint16_t>(low | (high << 8)));
    }
    heartbeat.changes.reserve(changeCount);
    for (auto const& change : encoded.changes()) {
        auto entry = decodeMember(change, change.name(), change.incarnation());
        if (!entry)
            return {};
        heartbeat.changes.push_back(std::move(*entry));
    }
    return heartbeat;
}

}
