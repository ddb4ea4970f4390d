#include "ScriptedTarget.h"

#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace Comfreysail::Tests {

ScriptedTarget::ScriptedTarget(Script script)
    : m_script(std::move(script))
    , m_listener(listenOnFreePort())
    , m_acceptThread([this] { acceptLoop(); })
{
}

ScriptedTarget::~ScriptedTarget() { stopListening(); }

void ScriptedTarget::stopListening()
{
    std::lock_guard const lock(m_listenerMutex);
    if (m_listener.descriptor < 0)
        return;
    ::shutdown(m_listener.descriptor, SHUT_RDWR);
    m_acceptThread.join();
    ::close(std::exchange(m_listener.descriptor, -1));
}

void ScriptedTarget::listenAgain()
{
    std::lock_guard const lock(m_listenerMutex);
    if (m_listener.descriptor >= 0)
        return;
    m_listener = listenOn(m_listener.port);
    m_acceptThread = std::jthread([this] { acceptLoop(); });
}

void ScriptedTarget::acceptLoop()
{
    while (true) {
        int const descriptor = ::accept4(m_listener.descriptor, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            return;
        ++m_connections;
        m_threads.emplace_back(
            [this, connection = RawConnection(descriptor)]() mutable { serve(std::move(connection)); });
    }
}

void ScriptedTarget::serve(RawConnection connection)
{
    while (true) {
        auto const head = connection.readUntil("\r\n\r\n");
        if (!head.ends_with("\r\n\r\n"))
            return;
        {
            std::lock_guard const lock(m_mutex);
            m_heads.push_back(head);
        }
        ++m_requests;
        if (!m_script(connection, head))
            return;
    }
}

std::vector<std::string> ScriptedTarget::heads() const
{
    std::lock_guard const lock(m_mutex);
    return m_heads;
}

std::string wholeResponse(std::string const& body, std::string const& extraFields, std::string const& status)
{
    return "HTTP/1.1 " + status + "\r\n" + extraFields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

}
