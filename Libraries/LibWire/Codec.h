#pragma once

#include <LibCore/Result.h>
#include <LibWire/Message.h>
#include <string>
#include <string_view>

namespace Comfreysail::Wire {

/// Encodes a message. The sender entry of a heartbeat is encoded without name and incarnation, which the receiver takes
/// from the message, so they must be equal in both.
std::string encode(Message const&);

/// Decodes a message. Error: MalformedMessage if the bytes are not a message or a value is out of range.
Core::Result<Message> decode(std::string_view bytes);

}
