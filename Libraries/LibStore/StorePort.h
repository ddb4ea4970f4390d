#pragma once

#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <LibStore/Operation.h>
#include <LibStore/Row.h>
#include <LibStore/TransactionResult.h>
#include <LibStore/Vm.h>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Comfreysail::Store {

template<typename T> using Callback = std::function<void(Core::Result<T>)>;

/// The platform's table service, object store and VM list. Every callable may be called from any thread and calls its
/// callback exactly once, on any thread and possibly before it returns; it does so soon after the deadline at the
/// latest.
///
/// Errors: StoreUnavailable where the call surely had no effect (for reads: any failure), StoreOutcomeUnknown where a
/// write may have taken effect or may still do so, Internal where the store refused the call as malformed.
struct StorePort {
    /// The row, or std::nullopt when it does not exist.
    std::function<void(std::string table, std::string key, Core::Instant deadline, Callback<std::optional<Row>>)> read;
    /// All rows whose key starts with the prefix, ordered by key.
    std::function<void(std::string table, std::string prefix, Core::Instant deadline, Callback<std::vector<Row>>)> scan;
    std::function<void(std::vector<Operation>, Core::Instant deadline, Callback<TransactionResult>)> transact;
    /// Writing an object again replaces it.
    std::function<void(std::string name, std::string content, Core::Instant deadline, Callback<Core::Empty>)> putObject;
    /// RowNotFound when the object does not exist.
    std::function<void(std::string name, Core::Instant deadline, Callback<std::string>)> readObject;
    std::function<void(Core::Instant deadline, Callback<std::vector<Vm>>)> listVms;
};

}
