#pragma once

namespace Comfreysail::Wire {

/// The sender takes no new work from now on.
struct DrainNotice {
    bool isLeaving { false }; ///< It ends now, and does not only drain.

    bool operator==(DrainNotice const&) const = default;
};

}
