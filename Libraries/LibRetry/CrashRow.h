#pragma once

#include <LibRetry/Quarantine.h>
#include <optional>
#include <string>
#include <string_view>

namespace Comfreysail::Retry {

/// A crash report as a row of the platform's store, from which daemons that start later learn of it.
struct CrashRow {
    CrashReport report;
    /// When the target crashed, by the store's clock. std::nullopt if the row does not say it, as rows of older builds.
    std::optional<Core::Duration> crashedAt;

    bool operator==(CrashRow const&) const = default;
};

/// The key of the report's row: the fingerprint in hex, a dash and the target instance.
std::string crashRowKey(CrashReport const&);

/// The time of the crash in milliseconds of the store's clock, or an empty string if it is not known.
std::string crashRowValue(std::optional<Core::Duration> crashedAt);

/// Returns std::nullopt if the key is that of no report.
std::optional<CrashRow> parseCrashRow(std::string_view key, std::string_view value);

}
