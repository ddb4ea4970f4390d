#pragma once

#include "RawConnection.h"
#include "ScriptedTarget.h"
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace Comfreysail::Tests {

/// A target in the settings tree of a test daemon.
struct TargetEntry {
    uint16_t port { 0 };
    unsigned slots { 2 };
    std::string availabilityZone { "pos-hall" };
};

struct DaemonOptions {
    std::vector<TargetEntry> targets;
    std::string treeAdditions;   ///< TOML that is put at the end of the settings tree.
    std::string serviceSettings; ///< Keys of the service, such as "timeout_ms = 300".
    std::string limits;          ///< Keys of the [limits] table.
    unsigned balancerLagMilliseconds { 0 };
    std::string vmName { "entry-1" };
    std::string availabilityZone { "pos-hall" };
    std::vector<uint16_t> seedPorts; ///< Control ports of other daemons.
    /// Port of the platform. The daemon then serves targets that register themselves, and has no settings tree.
    std::optional<uint16_t> platformPort;
    bool waitsUntilReady { true };
    bool logsIntoFullPipe { false }; ///< The log goes to a pipe that is full and that nobody reads.
};

/// The real comfreysaild with one service, "orders.test", whose routes are GET / (lookup), GET /files (download) and
/// POST / (order, not idempotent).
class DaemonProcess {
public:
    explicit DaemonProcess(DaemonOptions const&);
    ~DaemonProcess();
    DaemonProcess(DaemonProcess const&) = delete;
    DaemonProcess& operator=(DaemonProcess const&) = delete;

    uint16_t callerPort() const { return m_callerPort; }
    uint16_t peerPort() const { return m_peerPort; }
    uint16_t controlPort() const { return m_controlPort; }
    uint16_t adminPort() const { return m_adminPort; }

    RawConnection connect() const { return RawConnection::connectTo(m_callerPort); }
    /// Sends one request on a new connection and reads the response.
    RawResponse call(std::string const& request) const;
    RawResponse admin(std::string const& path) const;
    size_t residentKilobytes() const;
    std::string log() const;

    /// Replaces a part of the settings file, which the daemon may read again.
    void replaceInSettings(std::string const& part, std::string const& with) const;
    void hangUp() const;
    void terminate() const;
    void kill();
    /// Waits for the end of the process and returns its exit code; -1 when it does not end in time.
    int waitForExit(std::chrono::milliseconds = std::chrono::seconds(10));

private:
    uint16_t portFromLog(std::string const& key) const;

    void waitForLog(std::chrono::steady_clock::time_point deadline) const;

    std::filesystem::path m_folder;
    int m_fullPipe { -1 }; ///< Reading end; nothing is read from it.
    int m_process { -1 };
    uint16_t m_controlPort;
    uint16_t m_callerPort { 0 };
    uint16_t m_peerPort { 0 };
    uint16_t m_adminPort { 0 };
};

/// A request to the test service, with the department that the tree has.
std::string request(
    std::string const& method, std::string const& path, std::string const& fields = {}, std::string const& body = {});

/// Runs comfreysaild with these arguments until it ends. Standard output and standard error are joined.
struct FinishedProcess {
    int exitCode { -1 };
    std::string output;
};
FinishedProcess runDaemonProgram(std::vector<std::string> const& arguments);

/// A new folder below the system's temporary folder, removed by the caller.
std::filesystem::path makeTemporaryFolder();

}
