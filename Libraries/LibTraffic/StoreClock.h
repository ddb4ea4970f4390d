#pragma once

#include <LibCore/Time.h>
#include <optional>

namespace Comfreysail::Traffic {

/// The steady clock of the store, as far as this daemon knows it. Rows state times by it: it is the only clock that
/// daemons share and that outlasts a restart of all of them. It is as exact as a call to the store takes long.
class StoreClock {
public:
    /// Records the store's time, as a duration since an arbitrary moment that stays the same, in a response received at
    /// `now`.
    void note(Core::Duration storeTime, Core::Instant now) { m_offset = storeTime - now.time_since_epoch(); }

    /// Returns the store's time at the instant, or std::nullopt before the first note().
    std::optional<Core::Duration> at(Core::Instant instant) const
    {
        return m_offset ? std::optional(instant.time_since_epoch() + *m_offset) : std::nullopt;
    }

    /// Returns the instant at which the store's clock showed the time, or std::nullopt before the first note(). It may
    /// be before the start of this process.
    std::optional<Core::Instant> instantOf(Core::Duration storeTime) const
    {
        return m_offset ? std::optional(Core::Instant(storeTime - *m_offset)) : std::nullopt;
    }

    bool operator==(StoreClock const&) const = default;

private:
    std::optional<Core::Duration> m_offset;
};

}
