#pragma once

#include "RawConnection.h"
#include <atomic>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace Comfreysail::Tests {

/// A target whose behavior is a function of the test. The function runs once for each request head that arrives and may
/// send any bytes. The connection is closed when it returns false.
class ScriptedTarget {
public:
    using Script = std::function<bool(RawConnection&, std::string const& head)>;

    explicit ScriptedTarget(Script);
    ~ScriptedTarget();
    ScriptedTarget(ScriptedTarget const&) = delete;
    ScriptedTarget& operator=(ScriptedTarget const&) = delete;

    uint16_t port() const { return m_listener.port; }
    /// Refuses new connections from now on, as a target does whose process has ended. Open ones stay with the script.
    void stopListening();
    /// Accepts connections at the same port again.
    void listenAgain();

    unsigned requests() const { return m_requests; }
    unsigned connections() const { return m_connections; }
    std::vector<std::string> heads() const;

private:
    void acceptLoop();
    void serve(RawConnection);

    Script m_script;
    std::mutex m_listenerMutex;
    Listener m_listener;
    std::atomic<unsigned> m_requests { 0 };
    std::atomic<unsigned> m_connections { 0 };
    mutable std::mutex m_mutex;
    std::vector<std::string> m_heads;
    std::vector<std::jthread> m_threads;
    std::jthread m_acceptThread;
};

/// Returns a complete response with Content-Length. `extraFields` are complete header lines.
std::string wholeResponse(
    std::string const& body, std::string const& extraFields = {}, std::string const& status = "200 OK");

}
