#pragma once

#include <LibMembership/Heartbeat.h>
#include <optional>
#include <string>

namespace Comfreysail::Protobuf {
class Heartbeat;
}

namespace Comfreysail::Wire {

void encodeHeartbeat(Membership::Heartbeat const&, Protobuf::Heartbeat&);

/// Returns std::nullopt if a value is out of range.
std::optional<Membership::Heartbeat> decodeHeartbeat(
    Protobuf::Heartbeat const&, std::string const& sender, uint64_t incarnation);

}
