#include <LibTraffic/PauseDetector.h>

namespace Comfreysail::Traffic {

unsigned PauseDetector::noteTick(Core::Duration now)
{
    if (m_lastTick && now - *m_lastTick > m_options.maxTickGap) {
        m_resumedAt = now;
        ++m_pauses;
    }
    m_lastTick = now;
    return m_pauses;
}

void PauseDetector::noteRefreshed(Core::Duration startedAt)
{
    if (m_resumedAt && startedAt >= *m_resumedAt)
        m_resumedAt.reset();
}

bool PauseDetector::needsRefresh(Core::Duration now) const
{
    return m_resumedAt && now - *m_resumedAt < m_options.maxRefreshWait;
}

}
