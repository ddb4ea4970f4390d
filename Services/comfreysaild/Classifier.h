#pragma once

#include "RequestClassification.h"
#include <LibHTTP/Message.h>

namespace Comfreysail::Daemon {

/// Header in which an entry daemon passes its group choice to the home: "zone;shard;draw".
inline constexpr std::string_view groupHeader = "Comfreysail-Group";

/// Classifies a request by its head. Header fields reserved for daemons are ignored unless the origin is a peer.
/// Errors: the kinds of Core::ErrorKind that concern the head, such as UnknownService or InvalidDeadline.
Core::Result<RequestClassification> classify(
    HTTP::RequestHead const&, Settings::SettingsTree const&, Origin, Core::Instant now);

std::string serializeChosenGroup(ChosenGroup const&);

}
