#pragma once

namespace Comfreysail::Wire {

/// Announces that the sender accepts no new requests from now on.
struct DrainNotice {
    bool isLeaving { false }; ///< True if the sender shuts down, false if it only drains.

    bool operator==(DrainNotice const&) const = default;
};

}
