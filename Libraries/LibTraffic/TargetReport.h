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
    std::optional<int64_t> sequence; ///< Number of the report within that run.

    auto operator<=>(ReportPosition const&) const = default;
};

ReportPosition positionOf(RegisteredTarget const&);

/// Returns true if `report` was written before `known`. False if a start, or a number within the same run, is unknown.
bool isOlder(ReportPosition const& report, ReportPosition const& known);

/// The newest report of a target that a daemon has read from the registry.
struct KnownReport {
    ReportPosition position;
    Core::Instant seenAt {}; ///< When the registry last had an entry of the target.
    /// Since when the registry has had an older report instead.
    std::optional<Core::Instant> outdatedSince;

    bool operator==(KnownReport const&) const = default;
};

/// How late the registry may apply a write, according to its users. Reports are remembered for so long after their
/// entry is gone. An older report that stays in the registry for longer counts, since a running target would have
/// replaced it.
inline constexpr Core::Duration maxWriteDelay = std::chrono::seconds(15);

struct ReportDecision {
    bool isUsed { false }; ///< The entry counts; otherwise the one before it remains in force.
    KnownReport known;

    bool operator==(ReportDecision const&) const = default;
};

/// Decides whether an entry of the registry counts. A write whose response was lost may be applied after later ones,
/// and would bring back what the target said before. `known` is std::nullopt for a target that is not known.
ReportDecision decideOnReport(std::optional<KnownReport> const& known, ReportPosition const& report, Core::Instant now);

}
