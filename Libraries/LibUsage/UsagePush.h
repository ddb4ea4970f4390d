#pragma once

#include <LibCore/Result.h>
#include <LibUsage/UsageCounts.h>
#include <optional>

namespace Comfreysail::Usage {

/// Counts that a daemon sends to a collector. They are cumulative, so a push may arrive twice or be left out.
struct UsagePush {
    std::string name;                         ///< Of the sender's VM.
    std::string incarnation;                  ///< Differs for each process.
    std::optional<Core::Duration> wallOffset; ///< The sender's wall clock relative to the store's clock.
    CountsByWindow counts;                    ///< Those that the collector does not have yet.

    bool operator==(UsagePush const&) const = default;
};

/// A collector's response to a push.
struct UsageReply {
    std::string incarnation;                    ///< Of the collector; a new one has none of the earlier counts.
    std::optional<WindowId> closed;             ///< Windows up to this one are reported or given up.
    std::optional<Core::Duration> agreedOffset; ///< True time minus store time.
    /// The collector's last call to the store failed, so another one may have to report.
    bool isCutOffFromStore { false };
    size_t heard { 0 }; ///< Number of daemons, itself included, of which the collector has heard recently.

    bool operator==(UsageReply const&) const = default;
};

std::string encodePush(UsagePush const&);
/// Error: MalformedMessage.
Core::Result<UsagePush> decodePush(std::string_view);
std::string encodeReply(UsageReply const&);
/// Error: MalformedMessage.
Core::Result<UsageReply> decodeReply(std::string_view);

}
