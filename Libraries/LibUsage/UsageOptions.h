#pragma once

#include <LibCore/Time.h>

namespace Comfreysail::Usage {

struct UsageOptions {
    /// Length of a window. Windows are counted from the Unix epoch in true time.
    Core::Duration window { std::chrono::seconds(5) };
    /// A report is due this long after the end of its window.
    Core::Duration due { std::chrono::seconds(10) };
    Core::Duration lease { std::chrono::seconds(3) };
    /// Time after the end of a window at which the first candidate reports it. Until then the counts of all daemons
    /// arrive.
    Core::Duration firstCandidate { std::chrono::milliseconds(3500) };
    /// The same for the second candidate. The first one has had time for a call and two retries.
    Core::Duration secondCandidate { std::chrono::seconds(6) };
    /// Distance between the further candidates, so that they do not write at the same time.
    Core::Duration candidateSpacing { std::chrono::milliseconds(700) };
    /// No candidate starts later than this: a read, a write and a call still have to fit before the report is due.
    Core::Duration lastCandidate { std::chrono::milliseconds(8800) };
    /// A call to the platform is given up after this time.
    Core::Duration callTimeout { std::chrono::milliseconds(800) };
    /// What has to remain of the lease beyond the timeout of a call.
    Core::Duration leaseReserve { std::chrono::milliseconds(200) };
    /// Others wait this much longer than the lease before they take over.
    Core::Duration takeoverMargin { std::chrono::milliseconds(300) };
    /// A report is not started later than this before it is due.
    Core::Duration dueReserve { std::chrono::milliseconds(200) };
    Core::Duration minBackoff { std::chrono::milliseconds(250) };
    Core::Duration maxBackoff { std::chrono::seconds(1) };
    /// Longest text that the platform's store takes as a value.
    size_t maxRowBytes { 65'536 };

    bool operator==(UsageOptions const&) const = default;
};

/// Number of windows of which counts are kept: the current one and those that may still be reported.
inline int64_t keptWindows(UsageOptions const& options) { return options.due / options.window + 2; }

}
