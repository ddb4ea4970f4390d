#pragma once

#include <LibCore/Time.h>
#include <LibOverload/OverloadOptions.h>
#include <LibSettings/SettingsFault.h>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Comfreysail::Daemon {

/// An IP address and a port of this VM or of the platform.
struct ListenAddress {
    std::string address;
    uint16_t port { 0 };

    bool operator==(ListenAddress const&) const = default;
};

struct DaemonLimits {
    size_t maxConnections { 10'000 };
    size_t maxHeaderBytes { 16 * 1024 };
    Core::Duration headerTimeout { std::chrono::seconds(10) };
    Core::Duration idleTimeout { std::chrono::seconds(75) };
    Core::Duration stallTimeout { std::chrono::seconds(30) };
    Core::Duration connectTimeout { std::chrono::milliseconds(500) };
    size_t maxIdlePerTarget { 32 };
    size_t maxHeaderFields { 4096 };
    size_t maxRequestsInProgress { 16 }; ///< Of one connection, with pipelining.
    size_t minSendRate { 256 };          ///< Bytes per second; 0 allows any.
    size_t minReadRate { 256 };          ///< Bytes per second; 0 allows any.

    bool operator==(DaemonLimits const&) const = default;
};

/// How the target of a request is chosen.
enum class PlacementMode : uint8_t {
    Home,       ///< Targets are listed in the settings tree, and the home of their group dispatches to them.
    AskTargets, ///< Targets register themselves, and the daemon asks some of them for their load before each send.
};

/// Calls that one daemon makes to the platform on behalf of all.
struct DutySettings {
    ListenAddress endpoint;
    std::vector<std::string> kinds; ///< Only "usage" is run.
    double callsPerSecond { 50 };   ///< More calls of all daemons are refused by the platform.
    Core::Duration reportWindow { std::chrono::seconds(5) };
    Core::Duration reportDue { std::chrono::seconds(10) }; ///< After the end of the window.
    Core::Duration lease { std::chrono::seconds(3) };

    bool operator==(DutySettings const&) const = default;
};

/// The settings file of one daemon; Services/comfreysaild/example.toml describes the keys.
struct DaemonSettings {
    std::string vmName;
    std::string availabilityZone;
    PlacementMode placement { PlacementMode::Home };
    unsigned workerThreads { 4 };
    Core::Duration balancerLag { std::chrono::seconds(2) };
    /// Share of a core that the VM has. Daemons with a larger share serve rows to the others.
    double processorShare { 1 };
    /// Memory of the VM, in MiB. A quarter of it may hold bodies of requests at the same time (ask_targets).
    double memoryMebibytes { 256 };
    /// File descriptors that the process may have open (ask_targets); absent for the limit that it runs under.
    std::optional<size_t> maxDescriptors;
    bool isFirstStart { false }; ///< The whole system is started for the first time, before there is traffic.
    /// Retry budget of a service in a time window, shared by all daemons: retryRatio of its requests plus retrySlack.
    double retryRatio { 0.2 };
    double retrySlack { 50 };
    Overload::OverloadOptions overload; ///< With ask_targets.
    /// Time from SIGTERM until the platform kills the process; nullopt means no limit.
    std::optional<Core::Duration> grace;
    std::optional<std::string> settingsFile; ///< Absolute, or relative to the working directory.
    ListenAddress caller;
    ListenAddress peer;
    ListenAddress admin;
    ListenAddress control;
    std::vector<std::string> seeds; ///< "address:port" of the control ports of other daemons.
    std::optional<ListenAddress> platform;
    std::optional<DutySettings> duties;
    DaemonLimits limits;
    /// With more than 64 members, each daemon prefers a stable subset of the targets of a service (ask_targets).
    bool usesTargetSubset { false };
    uint64_t measurementBytesPerSecond { 29'000 };
    unsigned measurementCpuPermille { 19 };

    bool operator==(DaemonSettings const&) const = default;
};

/// Reads and checks the file. Returns all faults, not only the first one.
std::variant<DaemonSettings, Settings::SettingsFaults> readDaemonSettings(std::string const& path);

}
