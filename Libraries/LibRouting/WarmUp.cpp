#include <LibRouting/WarmUp.h>

namespace Comfreysail::Routing {

namespace {

// A good completion counts as much as eight doubtful ones. A target that wrongly reports that it is cold, or that is
// permanently slower than its group, still reaches its full limit, but later.
constexpr unsigned goodProgress = 8;
constexpr unsigned doubtfulProgress = 1;

// The limit grows by one after four good completions for each request that may be in flight.
constexpr unsigned progressForEachInFlight = 4 * goodProgress;

}

void WarmUp::restart()
{
    m_isCold = true;
    m_limit = 1;
    m_progress = 0;
}

void WarmUp::finish() { m_isCold = false; }

void WarmUp::note(Evidence evidence, unsigned fullLimit)
{
    if (!m_isCold)
        return;
    if (evidence == Evidence::Bad) {
        restart();
        return;
    }
    m_progress += evidence == Evidence::Good ? goodProgress : doubtfulProgress;
    if (m_progress < m_limit * progressForEachInFlight)
        return;
    m_progress = 0;
    if (++m_limit > fullLimit)
        m_isCold = false;
}

}
