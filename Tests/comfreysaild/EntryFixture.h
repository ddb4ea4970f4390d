#pragma once

#include <Support/ChildProcess.h>
#include <Support/DaemonProcess.h>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Comfreysail::Tests {

/// A registered target. It responds to load probes itself and passes all other requests to the script.
struct EntryTarget {
    EntryTarget(std::string id, ScriptedTarget::Script);

    /// Ends as a process does: it refuses connections and its script resets the open ones.
    void crash();
    void restart();

    /// The response to a load probe.
    std::string loadResponse() const;

    std::string id;
    std::string load { "0,0,2,100" };
    std::atomic<unsigned> runs { 0 };                  ///< Requests other than load probes.
    std::atomic<bool> isDown { false };                ///< Does not respond to load probes.
    std::atomic<unsigned> loadDelayMilliseconds { 0 }; ///< Delay of the responses to load probes.
    ScriptedTarget::Script loadScript;                 ///< If set, it responds to the load probes.
    ScriptedTarget::Script script;
    std::unique_ptr<ScriptedTarget> server;
};

/// A fake platform whose store holds the operators' settings, with registered targets and daemons.
class EntryFixture {
public:
    EntryFixture();

    EntryTarget& addTarget(std::string const& id, ScriptedTarget::Script, std::string const& version = "v1");
    /// Overwrites the registry entry of a target, with another state or version.
    void registerTarget(EntryTarget const&, std::string const& state, std::string const& version = "v1",
        int sequence = 1, int startedAt = 1);
    void removeTarget(std::string const& id);
    /// Writes a row with any value into the registry of targets.
    void writeRegistryRow(std::string const& key, std::string const& value) { writeRow("servers", key, value); }
    void writePlan(int version, std::string const& additionalRoutes = {});
    /// Writes a plan with departments and a public route. `tenants` is JSON, or empty for a plan without departments.
    void writeTenants(int version, std::string const& tenants);
    /// Adds a row to the member list. `text` is the daemon's endpoint and its share of a processor core.
    void writeMember(std::string const& name, std::string const& text);
    /// Adds a row to the table of crash reports. `value` is the time of the crash by the store's clock, in ms.
    void writeCrashRow(std::string const& key, std::string const& value);
    /// The keys of all rows of a table in the store.
    std::vector<std::string> storeKeys(std::string const& table);
    void writeOperatorRow(std::string const& key, std::string const& value);
    void removeOperatorRow(std::string const& key);
    /// The value of a row in the store, or an empty string if there is none.
    std::string storeRow(std::string const& table, std::string const& key);
    /// Sets the faults of the fake platform's store.
    void setFaults(std::string const& json);
    /// Keeps a copy of the store, to which restoreStore() goes back.
    void copyStore();
    /// The store is away for `absence` and comes back from the copy, in its next era.
    void restoreStore(std::chrono::milliseconds absence);

    DaemonProcess& startDaemon(DaemonOptions options = {});
    /// Ends all daemons, and then all targets.
    void stopAll();
    /// Ends all daemons at once, without a planned stop.
    void killDaemons() { m_daemons.clear(); }
    DaemonProcess& daemon() { return *m_daemons.front(); }

    uint16_t platformPort() const { return m_platformPort; }

    /// Sends a request with a new id and reads the response.
    RawResponse call(std::string const& method, std::string const& path, std::string const& body = {});
    static std::string requestText(std::string const& method, std::string const& path, std::string const& id,
        std::string const& body = {}, unsigned milliseconds = 2000);

private:
    void writeRow(std::string const& table, std::string const& key, std::string const& value);
    RawResponse callPlatform(
        uint16_t port, std::string const& method, std::string const& path, std::string const& body) const;

    ChildProcess m_platform { { COMFREYSAIL_BIN_DIR "/FakePlatform", "--control-port", "0" } };
    uint16_t m_platformPort { 0 };
    uint16_t m_controlPort { 0 };
    std::vector<std::unique_ptr<EntryTarget>> m_targets;
    std::vector<std::unique_ptr<DaemonProcess>> m_daemons;
    unsigned m_requests { 0 };
};

/// Ends the daemons and targets of a fixture at the end of its scope. A test declares it after the local variables that
/// its scripts refer to: a daemon sends load probes until it ends, and would run a script on destroyed variables.
class StopAtScopeEnd {
public:
    explicit StopAtScopeEnd(EntryFixture& fixture)
        : m_fixture(fixture)
    {
    }
    ~StopAtScopeEnd() { m_fixture.stopAll(); }
    StopAtScopeEnd(StopAtScopeEnd const&) = delete;
    StopAtScopeEnd& operator=(StopAtScopeEnd const&) = delete;

private:
    EntryFixture& m_fixture;
};

/// The JSON text of a route of the service "orders".
std::string routeText(std::string const& name, std::string const& prefix, std::string const& kind);

/// The length of the body that a request head states; 0 if it states none.
size_t contentLengthOf(std::string const& head);

/// The request id in a request head.
std::string requestIdOf(std::string const& head);

/// A complete response to the request with this head, with a target's signature.
std::string signedResponse(std::string const& head, std::string const& body, std::string const& status = "200 OK");

/// Waits until the condition holds. Returns false if it does not hold within the time.
bool eventually(std::function<bool()> const&, std::chrono::milliseconds = std::chrono::seconds(3));

}
