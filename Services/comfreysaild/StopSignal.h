#pragma once

#include <LibCore/ErrorKind.h>
#include <functional>
#include <optional>

namespace Comfreysail::Daemon {

/// Cancels the work on a request, for example because the caller disconnected or the deadline passed. Used only on the
/// strand of the request.
class StopSignal {
public:
    /// Registers, for its lifetime, the function that cancels the operation on which the request waits. Scopes nest.
    class Scope {
    public:
        Scope(StopSignal&, std::function<void()> onStop);
        ~Scope();
        Scope(Scope const&) = delete;
        Scope& operator=(Scope const&) = delete;

    private:
        StopSignal& m_signal;
        std::function<void()> m_outerOnStop;
    };

    /// Stores the reason and calls the function of the innermost scope. Only the first call has an effect.
    void stop(Core::ErrorKind reason);

    std::optional<Core::ErrorKind> reason() const { return m_reason; }

private:
    std::optional<Core::ErrorKind> m_reason;
    std::function<void()> m_onStop;
};

}
