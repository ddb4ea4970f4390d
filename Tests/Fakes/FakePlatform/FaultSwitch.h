#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Comfreysail::Fakes {

/// The fault that the fake platform injects into requests on its main port.
struct FaultSwitch {
    enum class Mode : uint8_t {
        Up,
        Down,        ///< Closes connections; with a control port, new connections are refused.
        Hang,        ///< Requests have no effect and get no answer; connections are closed when the mode ends.
        Slow,        ///< Requests take effect and are answered after the delay, even if the caller has disconnected.
        LoseAnswers, ///< Writes take effect and the connection is closed without an answer; reads are answered.
        Late,        ///< Writes are not answered and take effect after the delay; reads are answered.
        Busy,        ///< Every call is answered 503 and has no effect.
        TooMany,     ///< Every call is answered 429 and has no effect.
    };

    Mode mode { Mode::Up };
    std::chrono::milliseconds delay { 0 };
    /// IP address of the callers that the mode applies to; empty for all callers.
    std::string callers {};
    /// Number of requests until the mode returns to Up; if unset, the mode stays until it is changed.
    std::optional<uint64_t> remaining;

    /// Parses {"mode":"...","delay_ms":N,"count":N,"callers":"IP address"}, of which only "mode" is required. Returns
    /// std::nullopt if the text is not an object with a known mode.
    static std::optional<FaultSwitch> fromJson(std::string_view);
    std::string_view modeName() const;

    /// Returns the mode to apply to a new request from this IP address, and counts the request.
    Mode take(std::string_view caller);
};

}
