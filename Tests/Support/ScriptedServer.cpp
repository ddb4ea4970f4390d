#include <Support/ScriptedServer.h>
#include <arpa/inet.h>
#include <array>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace Comfreysail::Tests {

ScriptedServer::ScriptedServer(std::function<std::string(std::string const&)> respond)
    : m_respond(std::move(respond))
    , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    if (bind(m_listener, reinterpret_cast<sockaddr*>(&address), size) != 0 || listen(m_listener, 16) != 0
        || getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size) != 0)
        throw std::runtime_error("cannot listen on a loopback port");
    m_port = ntohs(address.sin_port);
    m_thread = std::thread([this] { run(); });
}

ScriptedServer::~ScriptedServer()
{
    m_isStopping = true;
    shutdown(m_listener, SHUT_RDWR);
    m_thread.join();
    close(m_listener);
}

std::vector<std::string> ScriptedServer::requests() const
{
    std::lock_guard const lock(m_mutex);
    return m_requests;
}

std::string ScriptedServer::answer(int status, std::string const& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

void ScriptedServer::run()
{
    while (!m_isStopping) {
        auto const connection = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0)
            continue;
        serve(connection);
        close(connection);
    }
}

void ScriptedServer::serve(int connection)
{
    std::string request;
    std::array<char, 4096> buffer {};
    size_t wanted = std::string::npos;
    while (wanted == std::string::npos || request.size() < wanted) {
        auto const count = recv(connection, buffer.data(), buffer.size(), 0);
        if (count <= 0)
            return;
        request.append(buffer.data(), static_cast<size_t>(count));
        auto const head = request.find("\r\n\r\n");
        if (head == std::string::npos)
            continue;
        auto const length = request.find("Content-Length: ");
        wanted = head + 4 + (length < head ? std::stoul(request.substr(length + 16)) : 0);
    }
    {
        std::lock_guard const lock(m_mutex);
        m_requests.push_back(request);
    }
    auto const bytes = m_respond(request);
    send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

}
