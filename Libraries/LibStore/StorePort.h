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

/// The platform's table service, object store and VM list. Each function may be called from any thread. It calls its
/// callback exactly once, on any thread, possibly before it returns and at the latest shortly after the deadline.
///
/// Errors: StoreUnavailable if the call certainly had no effect (for reads: after any failure), StoreOutcomeUnknown if
/// a write may have taken effect or may still do so, Internal if the store rejected the call as malformed.
struct StorePort {
    /// The row, or std::nullopt if it does not exist.
    std::function<void(std::string table, std::string key, Core::Instant deadline, Callback<std::optional<Row>>)> read;
    /// All rows whose key starts with the prefix, ordered by key.
    std::function<void(std::string table, std::string prefix, Core::Instant deadline, Callback<std::vector<Row>>)> scan;
    std::function<void(std::vector<Operation>, Core::Instant deadline, Callback<TransactionResult>)> transact;
    /// Creates or replaces an object.
    std::function<void(std::string name, std::string content, Core::Instant deadline, Callback<Core::Empty>)> putObject;
    /// Error: RowNotFound if the object does not exist.
    std::function<void(std::string name, Core::Instant deadline, Callback<std::string>)> readObject;
    std::function<void(Core::Instant deadline, Callback<std::vector<Vm>>)> listVms;
};

}
