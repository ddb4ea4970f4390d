#pragma once

#include <string>

namespace Comfreysail::Daemon {

/// Returns as TOML the settings that environment variables state: `max_fds`, and the table `duties` if there is an
/// endpoint for it. Empty variables count as absent. The platform passes there what not every deployment has, since the
/// file is the same for all of them.
std::string environmentToml();

}
