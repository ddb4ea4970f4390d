#pragma once

#include <LibCore/Time.h>
#include <LibTraffic/RegisteredTarget.h>
#include <compare>
#include <cstdint>
#include <optional>

namespace Comfreysail::Traffic {

/// The place of a report among all reports that a target wrote into the registry under one id.
struct ReportPosition {
    int64_t startedAt { 0 };         ///< Start of the reporting run, in Unix ms; 0 if unknown.
    std::optional<int64_t> sequence; ///< Number of the report within that run; std::nullopt if unknown.

    auto operator<=>(ReportPosition const&) const = default;
};

ReportPosition positionOf(RegisteredTarget const&);

/// Returns true if `report` was written before `known`. False if a start, or a number within the same run, is unknown.
bool isOlder(ReportPosition const& report, ReportPosition const& known);

/// The newest report of a target that was read.
struct KnownReport {
    ReportPosition position;
    std::optional<Core::Instant> outdatedSince; ///< Since when an older report has been read instead.
    std::optional<Core::Instant> removedAt;     ///< When the target's entry was gone.

    bool operator==(KnownReport const&) const = default;
};

/// The registry may apply a write whose response was lost as late as this. Stated by its operators.
inline constexpr Core::Duration maxWriteDelay = std::chrono::seconds(6);

/// For this time an older report does not count, and the report of a target whose entry is gone is remembered. Longer
/// than the delay of a write, since a read may be late, too. An older report that stays for longer counts: a running
/// target would have replaced it with its next heartbeat, and the entry of one that has ended would have expired.
inline constexpr Core::Duration reportTimeout = 2 * maxWriteDelay;

struct ReportDecision {
    bool isUsed { false }; ///< The report counts; otherwise the one before it remains in force.
    KnownReport known;

    bool operator==(ReportDecision const&) const = default;
};

/// Decides whether a report counts. A write that is applied late would bring back what the target said before. `known`
/// is std::nullopt for a target of which no report was read.
ReportDecision decideOnReport(std::optional<KnownReport> const& known, ReportPosition const& report, Core::Instant now);

}
