#pragma once

#include <LibStore/StorePort.h>
#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace Comfreysail::Store {

/// An in-memory store for tests and for the fake platform. Callbacks run before the call returns.
class MemoryStore {
public:
    enum class Fault : uint8_t {
        None,
        Unavailable,  ///< The call fails and has no effect.
        LoseResponse, ///< A write takes effect and then fails; a read fails.
        DelayWrite,   ///< A write fails and takes effect when performDelayedWrites() is called; a read fails.
    };

    /// The port refers to this store, which must outlive it.
    StorePort port();

    /// Sets the faults of the next calls, one for each call. Later calls have the fault of setFault().
    void failNext(std::vector<Fault>);
    void setFault(Fault);

    /// Performs the writes that DelayWrite delayed.
    void performDelayedWrites();

    /// Number of calls so far.
    size_t callCount() const { return m_callCount; }
    size_t writeCount() const { return m_writeCount; }

    std::optional<Row> row(std::string const& table, std::string const& key) const;
    std::vector<Row> rows(std::string const& table, std::string const& prefix) const;
    TransactionResult transact(std::vector<Operation> const&);
    void putObject(std::string const& name, std::string content);
    std::optional<std::string> object(std::string const& name) const;
    void setVms(std::vector<Vm>);
    std::vector<Vm> vms() const;

private:
    Fault takeFault();

    mutable std::mutex m_mutex; ///< No other lock is taken and no callback runs while it is held.
    std::map<std::pair<std::string, std::string>, Row> m_rows;
    std::map<std::string, std::string> m_objects;
    std::vector<Vm> m_vms;
    uint64_t m_lastVersion { 0 };
    std::vector<Fault> m_nextFaults;
    Fault m_fault { Fault::None };
    std::vector<std::function<void()>> m_delayedWrites;
    std::atomic<size_t> m_callCount { 0 };
    std::atomic<size_t> m_writeCount { 0 };
};

}
