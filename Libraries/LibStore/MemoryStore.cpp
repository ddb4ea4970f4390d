#include <LibStore/MemoryStore.h>

namespace Comfreysail::Store {

namespace {

Core::Error unavailable() { return { Core::ErrorKind::StoreUnavailable, "the memory store was told to fail" }; }
Core::Error unknown()
{
    return { Core::ErrorKind::StoreOutcomeUnknown, "the memory store was told to lose the answer" };
}

}

StorePort MemoryStore::port()
{
    // Runs a write according to the fault of this call.
    auto const write = [this](auto effect, auto const& callback) {
        ++m_writeCount;
        switch (takeFault()) {
        case Fault::Unavailable:
            return callback(unavailable());
        case Fault::LoseResponse:
            effect();
            return callback(unknown());
        case Fault::DelayWrite: {
            std::unique_lock lock(m_mutex);
            m_delayedWrites.push_back([effect] { effect(); });
            lock.unlock();
            return callback(unknown());
        }
        case Fault::None:
            return callback(effect());
        }
    };
    return {
        .read =
            [this](std::string const& table, std::string const& key, Core::Instant, auto const& callback) {
                if (takeFault() != Fault::None)
                    return callback(unavailable());
                callback(row(table, key));
            },
        .scan =
            [this](std::string const& table, std::string const& prefix, Core::Instant, auto const& callback) {
                if (takeFault() != Fault::None)
                    return callback(unavailable());
                callback(rows(table, prefix));
            },
        .transact = [this, write](std::vector<Operation> const& operations, Core::Instant,
                        auto const& callback) { write([this, operations] { return transact(operations); }, callback); },
        .putObject =
            [this, write](std::string const& name, std::string const& content, Core::Instant, auto const& callback) {
                write(
                    [this, name, content] {
                        putObject(name, content);
                        return Core::Empty {};
                    },
                    callback);
            },
        .readObject =
            [this](std::string const& name, Core::Instant, auto const& callback) {
                if (takeFault() != Fault::None)
                    return callback(unavailable());
                auto content = object(name);
                if (!content)
                    return callback(Core::Error { Core::ErrorKind::RowNotFound, "object " + name + " does not exist" });
                callback(std::move(*content));
            },
        .listVms =
            [this](Core::Instant, auto const& callback) {
                if (takeFault() != Fault::None)
                    return callback(unavailable());
                callback(vms());
            },
    };
}

void MemoryStore::failNext(std::vector<Fault> faults)
{
    std::lock_guard const lock(m_mutex);
    m_nextFaults = std::move(faults);
}

void MemoryStore::setFault(Fault fault)
{
    std::lock_guard const lock(m_mutex);
    m_fault = fault;
}

void MemoryStore::performDelayedWrites()
{
    std::unique_lock lock(m_mutex);
    auto const delayedWrites = std::move(m_delayedWrites);
    m_delayedWrites.clear();
    lock.unlock();
    for (auto const& effect : delayedWrites)
        effect();
}

MemoryStore::Fault MemoryStore::takeFault()
{
    ++m_callCount;
    std::lock_guard const lock(m_mutex);
    if (m_nextFaults.empty())
        return m_fault;
    auto const fault = m_nextFaults.front();
    m_nextFaults.erase(m_nextFaults.begin());
    return fault;
}

std::optional<Row> MemoryStore::row(std::string const& table, std::string const& key) const
{
    std::lock_guard const lock(m_mutex);
    auto found = m_rows.find({ table, key });
    if (found == m_rows.end())
        return {};
    return found->second;
}

std::vector<Row> MemoryStore::rows(std::string const& table, std::string const& prefix) const
{
    std::lock_guard const lock(m_mutex);
    std::vector<Row> result;
    for (auto entry = m_rows.lower_bound({ table, prefix }); entry != m_rows.end(); ++entry) {
        if (entry->first.first != table || !entry->first.second.starts_with(prefix))
            break;
        result.push_back(entry->second);
    }
    return result;
}

TransactionResult MemoryStore::transact(std::vector<Operation> const& operations)
{
    std::lock_guard const lock(m_mutex);
    TransactionResult result;
    for (size_t index = 0; index < operations.size(); ++index) {
        auto const& operation = operations[index];
        auto const found = m_rows.find({ operation.table, operation.key });
        auto const version = found == m_rows.end() ? 0 : found->second.version;
        if (operation.expectedVersion == anyVersion || static_cast<uint64_t>(operation.expectedVersion) == version)
            continue;
        result.conflicts.push_back({ index, version, found == m_rows.end() ? std::string() : found->second.value });
    }
    if (!result.isCommitted())
        return result;
    for (auto const& operation : operations) {
        std::pair const rowKey(operation.table, operation.key);
        uint64_t version = 0;
        if (operation.kind == Operation::Kind::Put) {
            // Versions are never reused, so a row that was deleted and written again does not look unchanged.
            version = ++m_lastVersion;
            m_rows[rowKey] = { operation.key, version, operation.value };
        } else if (operation.kind == Operation::Kind::Delete) {
            m_rows.erase(rowKey);
        } else if (auto found = m_rows.find(rowKey); found != m_rows.end()) {
            version = found->second.version;
        }
        result.versions.push_back(version);
    }
    return result;
}

void MemoryStore::putObject(std::string const& name, std::string content)
{
    std::lock_guard const lock(m_mutex);
    m_objects[name] = std::move(content);
}

std::optional<std::string> MemoryStore::object(std::string const& name) const
{
    std::lock_guard const lock(m_mutex);
    auto found = m_objects.find(name);
    if (found == m_objects.end())
        return {};
    return found->second;
}

void MemoryStore::setVms(std::vector<Vm> vms)
{
    std::lock_guard const lock(m_mutex);
    m_vms = std::move(vms);
}

std::vector<Vm> MemoryStore::vms() const
{
    std::lock_guard const lock(m_mutex);
    return m_vms;
}

}
