#pragma once

#include <LibCore/ErrorKind.h>
#include <functional>
#include <optional>

namespace Comfreysail::Daemon {

/// Tells the code that works on a request that it has to stop: the caller went away or the deadline passed. Used on
/// the strand of the request only.
class StopSignal {
public:
    /// Registers what ends the operation that the request waits for now, for the life of the object.
    class Scope {
    public:
        Scope(StopSignal&, std::function<void()> onStop);
        ~Scope();
        Scope(Scope const&) = delete;
        Scope& operator=(Scope const&) = delete;

    private:
        StopSignal& m_signal;
        std::function<void()> m_outer;
    };

    /// The first reason counts. Calls the innermost scope's function.
    void stop(Core::ErrorKind reason);

    std::optional<Core::ErrorKind> reason() const { return m_reason; }

private:
    std::optional<Core::ErrorKind> m_reason;
    std::function<void()> m_onStop;
};

}
