#pragma once

#include <LibCore/Result.h>
#include <LibStore/Operation.h>
#include <LibStore/Row.h>
#include <LibStore/TransactionResult.h>
#include <LibStore/Vm.h>
#include <string>
#include <string_view>
#include <vector>

namespace Comfreysail::Store {

/// Bodies of the platform protocol. A parser returns StoreUnavailable for a body that is not as the protocol says; for
/// a write that the platform accepted, the caller turns it into StoreOutcomeUnknown. Not part of the public header.

std::string serializeOperations(std::vector<Operation> const&);

Core::Result<Row> parseRow(std::string key, std::string_view body);
Core::Result<std::vector<Row>> parseRows(std::string_view body);
/// A committed transaction must state as many versions as it has operations.
Core::Result<TransactionResult> parseCommitted(std::string_view body, size_t operationCount);
/// There must be at least one conflict, and each must name an operation.
Core::Result<TransactionResult> parseConflicts(std::string_view body, size_t operationCount);
Core::Result<std::vector<Vm>> parseVms(std::string_view body);

}
