#pragma once

#include <LibCore/Time.h>
#include <optional>

namespace Comfreysail::Traffic {

struct PauseOptions {
    /// A gap between two ticks that is longer than this counts as a pause of the process. A small VM under full load
    /// has gaps of a fraction of a second.
    Core::Duration maxTickGap { std::chrono::seconds(2) };
    /// How long decisions wait for fresh rows after a pause. If neither the store nor another daemon responds within
    /// this time, the last known rows are used, as in any other outage of the store.
    Core::Duration maxRefreshWait { std::chrono::seconds(1) };

    bool operator==(PauseOptions const&) const = default;
};

/// Detects that the process was paused or its VM suspended, so that what it was allowed before (the targets and zones
/// in its rows, a load report) may have expired meanwhile. All times are those of Core::suspendAwareNow(), since the
/// monotonic clock does not count a suspension.
class PauseDetector {
public:
    explicit PauseDetector(PauseOptions options = {})
        : m_options(options)
    {
    }

    /// Call it several times within `maxTickGap`, and before each decision. Returns the number of pauses so far.
    unsigned noteTick(Core::Duration now);

    /// Records that rows were read from the store or from a daemon. `startedAt` is when the read began: a response that
    /// arrived before or during a pause is as old as the pause.
    void noteRefreshed(Core::Duration startedAt);

    /// Returns true if there was a pause and no rows were read since.
    bool needsRefresh(Core::Duration now) const;

private:
    PauseOptions m_options;
    std::optional<Core::Duration> m_lastTick;
    std::optional<Core::Duration> m_resumedAt; ///< Absent once rows were read after the pause.
    unsigned m_pauses { 0 };
};

}
