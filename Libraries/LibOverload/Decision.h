#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <string_view>

namespace Comfreysail::Overload {

enum class Action : uint8_t {
    Send,
    Wait,   ///< Hold the request for `Decision::wait` and try again.
    Refuse, ///< With Retry-After, see retryAfter().
};

/// Why a request is not sent now.
enum class Reason : uint8_t {
    None,
    NoRoom,     ///< No asked target has room for it.
    Late,       ///< It cannot be on time anymore and leaves the last free slots to others.
    Rank,       ///< It leaves the last free slots to more urgent requests.
    Department, ///< Only because its department used more than its share, it leaves them to others.
    NoTime,     ///< Its caller's time ends before it could be served.
};

struct Decision {
    Action action { Action::Send };
    Reason reason { Reason::None };
    double requiredShare { 0 }; ///< Share of targets with a free slot from which on the request is sent.
    Core::Duration wait {};     ///< Set for Action::Wait.

    bool operator==(Decision const&) const = default;
};

std::string_view actionName(Action);
std::string_view reasonName(Reason);

}
