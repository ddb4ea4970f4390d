#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Comfreysail::Tests {

/// A server on a free loopback port that answers each request with bytes that the test chooses and then closes the
/// connection. It serves one connection at a time.
class ScriptedServer {
public:
    /// The function gets the whole request and returns the bytes to send. If it returns an empty string, the connection
    /// is closed without an answer.
    explicit ScriptedServer(std::function<std::string(std::string const&)>);
    ~ScriptedServer();
    ScriptedServer(ScriptedServer const&) = delete;
    ScriptedServer& operator=(ScriptedServer const&) = delete;

    uint16_t port() const { return m_port; }
    std::vector<std::string> requests() const;

    /// Returns a complete response with this status and body.
    static std::string answer(int status, std::string const& body);

private:
    void run();
    void serve(int connection);

    std::function<std::string(std::string const&)> m_respond;
    int m_listener { -1 };
    uint16_t m_port { 0 };
    std::atomic<bool> m_isStopping { false };
    mutable std::mutex m_mutex;
    std::vector<std::string> m_requests;
    std::thread m_thread;
};

}
