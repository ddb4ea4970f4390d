#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Comfreysail::Fakes {

/// How the platform misbehaves.
struct FaultSwitch {
    enum class Mode : uint8_t {
        Up,
        Down,        ///< Connections are closed; with a control port, new ones are refused.
        Hang,        ///< Requests get no answer and have no effect.
        Slow,        ///< Requests take effect and are answered after the delay, even if the caller left.
        LoseAnswers, ///< Writes take effect and the connection is closed without an answer; reads are answered.
        Late,        ///< Writes are not answered and take effect after the delay; reads are answered.
        Busy,        ///< Every call is answered 503 and has no effect.
        TooMany,     ///< Every call is answered 429 and has no effect.
    };

    Mode mode { Mode::Up };
    std::chrono::milliseconds delay { 0 };
    /// Address of the callers for which the mode holds; empty for all.
    std::string callers {};
    /// Requests until the mode returns to Up; without it the mode stays.
    std::optional<uint64_t> remaining;

    /// Reads {"mode":"...","delay_ms":N,"count":N,"callers":"IP address"}. std::nullopt when it is none.
    static std::optional<FaultSwitch> fromJson(std::string_view);
    std::string_view modeName() const;

    /// The mode for the next request, which comes from this IP address.
    Mode take(std::string_view caller);
};

}
