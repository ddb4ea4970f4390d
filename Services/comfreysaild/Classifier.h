#pragma once

#include "RequestClassification.h"
#include <LibHTTP/Message.h>

namespace Comfreysail::Daemon {

/// Name of the header in which an entry daemon tells the home its choice: "zone;shard;draw".
inline constexpr std::string_view groupHeader = "Comfreysail-Group";

/// Classifies a request by its head. Header fields that only daemons may set count only when the origin is a peer.
/// Errors: those of the table in LibCore that concern the head, such as UnknownService or InvalidDeadline.
Core::Result<RequestClassification> classify(
    HTTP::RequestHead const&, Settings::SettingsTree const&, Origin, Core::Instant now);

std::string serializeChosenGroup(ChosenGroup const&);

}
