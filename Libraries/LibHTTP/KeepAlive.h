#pragma once

#include <LibCore/Time.h>
#include <LibHTTP/Fields.h>
#include <optional>

namespace Comfreysail::HTTP {

/// Returns the time of the parameter `timeout` of the field `Keep-Alive`, which is in whole seconds (RFC
/// 2068, 19.7.1.1), or nullopt if it is missing or malformed. The shortest one counts.
std::optional<Core::Duration> keepAliveTimeout(Fields const&);

}
