#pragma once

#include <LibSettings/Difference.h>
#include <LibStore/ApplyResult.h>
#include <LibStore/StorePort.h>
#include <cstdint>
#include <optional>
#include <string>

namespace Comfreysail::Store {

/// A change that replaces the whole settings text.
struct ApplyRequest {
    std::string changeId; ///< Unique for each change; a retry of the same change uses the same id.
    std::string toml;
    /// Revision that the change replaces; 0 if there are no settings yet, unset for the one in force at the start.
    std::optional<uint64_t> expectedRevision;
};

/// Applies a change in one transaction on settings/head and changes/<change id>. It is idempotent: it may be called
/// again with the same request any number of times and after any error, and the change takes effect at most once.
///
/// After a lost response it reads the change's own row, and sends the same conditional transaction again if that row is
/// absent. Errors: InvalidSettings; StoreUnavailable if this call did not apply the change and will not do so later;
/// StoreOutcomeUnknown if it may have applied it, which calling again resolves.
void applyChange(StorePort const&, ApplyRequest, Core::Instant deadline, Callback<ApplyResult>);

}
