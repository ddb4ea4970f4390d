#pragma once

#include "RawConnection.h"
#include "ScriptedTarget.h"
#include <chrono>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace Comfreysail::Tests {

/// A target in the settings tree of a daemon under test.
struct TargetEntry {
    uint16_t port { 0 };
    unsigned slots { 2 };
    std::string availabilityZone { "pos-hall" };
};

struct DaemonOptions {
    std::vector<TargetEntry> targets;
    std::string treeAdditions;   ///< TOML that is appended to the settings tree.
    std::string serviceSettings; ///< Settings of the service, such as "timeout_ms = 300".
    std::string limits;          ///< Settings of the [limits] table.
    std::string overload;        ///< Settings of the [overload] table.
    std::string settings;        ///< Settings at the top of the file.
    unsigned balancerLagMilliseconds { 0 };
    std::string vmName { "entry-1" };
    std::string availabilityZone { "pos-hall" };
    std::vector<uint16_t> seedPorts; ///< Control ports of other daemons.
    bool isSeed { false };           ///< Its own control port is one of the seeds, too.
    /// Port of the platform. If set, the daemon serves targets that register themselves and has no settings tree.
    std::optional<uint16_t> platformPort;
    bool waitsUntilReady { true };
    bool logsIntoFullPipe { false }; ///< Whether the log goes to a full pipe that nobody reads.
    /// Limit of the process's open file descriptors (RLIMIT_NOFILE). Without it the process has that of the test.
    std::optional<unsigned> descriptorLimit;
    bool hasSteppableClock { false }; ///< Whether stepClock() works. It starts comfreysaildWithFaults.
};

/// A comfreysaild process with one service, "orders.test". Its routes are GET / (lookup), GET /files (download), POST /
/// (order, not idempotent) and PUT / (order, idempotent).
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
    size_t openDescriptors() const;
    /// Sets the limit of open descriptors of the running process.
    void setDescriptorLimit(size_t) const;
    bool isAlive() const;
    std::string log() const;

    /// Replaces the first occurrence of a text in the daemon's settings file; does not make the daemon reload it.
    void replaceInSettings(std::string const& part, std::string const& with) const;
    void hangUp() const;
    void terminate() const;
    void stop() const; ///< Pauses the process.
    void resume() const;
    /// Sets the process's wall clock ahead of the true time, or behind it if negative. Steady clocks stay as they are.
    void stepClock(std::chrono::seconds) const;
    void kill();
    /// Waits for the process to exit. Returns its exit code, or -1 if it does not exit in time or a signal ended it.
    int waitForExit(std::chrono::milliseconds = std::chrono::seconds(10));

private:
    uint16_t portFromLog(std::string const& key) const;

    void start(DaemonOptions const&);
    /// Waits until the daemon has started. Returns false if it has ended because one of its ports was in use.
    bool waitForLog(std::chrono::steady_clock::time_point deadline);

    std::filesystem::path m_folder;
    int m_fullPipe { -1 }; ///< Read end of the log pipe; nothing is read from it.
    int m_process { -1 };
    uint16_t m_controlPort { 0 };
    uint16_t m_callerPort { 0 };
    uint16_t m_peerPort { 0 };
    uint16_t m_adminPort { 0 };
};

/// Returns the bytes of a request to the test service from the department "civil". `fields` are complete header lines.
std::string request(
    std::string const& method, std::string const& path, std::string const& fields = {}, std::string const& body = {});

/// The result of a comfreysaild process that has ended.
struct FinishedProcess {
    int exitCode { -1 };
    std::string output; ///< Standard output and standard error together.
};
/// Runs comfreysaild with these arguments and waits for it to exit.
FinishedProcess runDaemonProgram(std::vector<std::string> const& arguments);

/// Creates a new folder below the system's temporary folder. The caller removes it.
std::filesystem::path makeTemporaryFolder();

}
