#pragma once

#include <LibCore/Result.h>
#include <LibWire/Message.h>
#include <string>
#include <string_view>

namespace Comfreysail::Wire {

/// A heartbeat's sender entry takes its name and incarnation from the message, so these must agree.
std::string encode(Message const&);

/// Errors: MalformedMessage, for bytes that are no message and for values outside their range.
Core::Result<Message> decode(std::string_view bytes);

}
