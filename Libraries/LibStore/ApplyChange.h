#pragma once

#include <LibSettings/Difference.h>
#include <LibStore/ApplyResult.h>
#include <LibStore/StorePort.h>
#include <cstdint>
#include <optional>
#include <string>

namespace Comfreysail::Store {

/// A change of the whole settings text.
struct ApplyRequest {
    std::string changeId; ///< Unique for the change; sending the same change again uses the same id.
    std::string toml;
    std::optional<uint64_t> expectedRevision; ///< 0: no settings yet. Unset: whatever is in force at the start.
};

/// Applies a change in one transaction on settings/head and changes/<change id>. It may be called again with the same
/// request after any error and any number of times; the change takes effect at most once.
///
/// A lost response is resolved by reading the change's own row, and by sending the same conditional transaction again
/// where that row is absent. Errors: InvalidSettings; StoreUnavailable: the change was not applied and will not be;
/// StoreOutcomeUnknown: it may have been, and calling again decides it.
void applyChange(StorePort const&, ApplyRequest, Core::Instant deadline, Callback<ApplyResult>);

}
